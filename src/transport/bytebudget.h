#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace sapphirecove::transport {

/**
 * Bounds the bytes that the messages of a process keep in memory together. When they would exceed the limit, the
 * message that keeps the most is given up: sound messages are small, and one without an end outgrows all others. Not
 * thread-safe.
 */
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit);

    /** Bytes that one message keeps. */
    class Share
    {
    public:
        /** @p giveUp is called to end the message in favour of others; its memory must be freed soon after. */
        Share(std::shared_ptr<ByteBudget> budget, std::function<void()> giveUp);
        ~Share();

        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /**
         * Sets the number of bytes that the message keeps. Returns false if it has to be given up, as no message that
         * keeps more can be.
         */
        bool resize(std::size_t bytes);

        /** Marks the message as complete: it counts until it is delivered, but is no longer given up for others. */
        void complete();

        /** Returns whether the message was given up. */
        bool givenUp() const
        {
            return m_givenUp;
        }

    private:
        friend class ByteBudget;

        std::shared_ptr<ByteBudget> m_budget; /**< frames of coroutines may hold shares when their service has ended */
        std::function<void()> m_giveUp;
        std::size_t m_bytes = 0;
        bool m_complete = false;
        bool m_givenUp = false;
    };

    /** Returns the bytes that all messages keep. */
    std::size_t used() const
    {
        return m_used;
    }

    /** Returns how many messages were given up so far. */
    std::size_t givenUp() const
    {
        return m_givenUp;
    }

private:
    Share *largestOpenShare() const;
    void giveUp(Share &share);

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::size_t m_givenUp = 0;
    std::set<Share *> m_shares;
};

} // namespace sapphirecove::transport
