#pragma once

#include "coordination/event.h"
#include "state/logrecord.h"
#include "state/time.h"

#include <algorithm>
#include <random>
#include <vector>

namespace sapphirecove::tests {

/** One stream of the platform's log in memory. Appends can be lost, duplicated or delayed. */
class SimulatedLog
{
public:
    explicit SimulatedLog(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /** Sends an append; at random it is stored immediately, twice, after a delay of up to @p maxDelay, or never. */
    void send(const state::LogRecord &record, state::Time now, state::Duration maxDelay)
    {
        switch (randomBelow(6)) {
        case 0:
            return;
        case 1:
            m_delayed.push_back({ now + randomDelay(maxDelay), record });
            store(record, now);
            return;
        case 2:
            m_delayed.push_back({ now + randomDelay(maxDelay), record });
            return;
        default:
            store(record, now);
        }
    }

    void store(const state::LogRecord &record, state::Time now)
    {
        records.push_back({ records.size(), now, record });
    }

    /** Stores delayed appends that are due and expires records older than @p retention. */
    void advance(state::Time now, state::Duration retention)
    {
        for (std::size_t i = 0; i < m_delayed.size(); ++i) {
            if (m_delayed[i].due <= now) {
                store(m_delayed[i].record, now);
                m_delayed.erase(m_delayed.begin() + static_cast<std::ptrdiff_t>(i--));
            }
        }
        while (first < records.size() && now - records[first].time > retention) {
            ++first;
        }
    }

    coordination::RecordsRead read(state::Offset from, std::size_t limit) const
    {
        const auto begin = std::min<std::size_t>(std::max(from, first), records.size());
        const auto end = std::min(begin + limit, records.size());
        coordination::RecordsRead result;
        result.first = first;
        result.next = end;
        result.atEnd = end == records.size();
        result.records.assign(records.begin() + static_cast<std::ptrdiff_t>(begin),
                              records.begin() + static_cast<std::ptrdiff_t>(end));
        return result;
    }

    /** Returns a random number below @p bound. */
    std::uint64_t randomBelow(std::uint64_t bound)
    {
        return m_random() % bound;
    }

    state::Duration randomDelay(state::Duration maxDelay)
    {
        return state::Duration(
            static_cast<std::int64_t>(randomBelow(static_cast<std::uint64_t>(maxDelay.count()) + 1)));
    }

    std::vector<state::StoredRecord> records; /**< all records ever stored, including expired ones */
    state::Offset first = 0; /**< oldest offset that has not expired */

private:
    struct Delayed
    {
        state::Time due{};
        state::LogRecord record;
    };

    std::mt19937_64 m_random;
    std::vector<Delayed> m_delayed;
};

} // namespace sapphirecove::tests
