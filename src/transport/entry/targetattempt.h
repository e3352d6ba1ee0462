#pragma once

#include "coordination/entry/targetload.h"
#include "protocol/eventstreamparser.h"
#include "transport/entry/responses.h"
#include "transport/entry/servingcontext.h"
#include "transport/responsereader.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sapphirecove::transport::entry {

/** Receives the event stream of a target's response. */
class StreamSink
{
public:
    virtual ~StreamSink() = default;

    /** Takes @p event if it may follow those of this and of earlier attempts; returns whether it does. */
    virtual bool take(const protocol::ServerSentEvent &event) = 0;

    /** Returns whether the end of the response may be that of the stream. */
    virtual bool mayEnd() const = 0;

    /** Called when the first event has arrived. */
    virtual void firstEvent() = 0;

    /** Forwards complete @p events of the response with @p head; returns false if the caller has disconnected. */
    virtual boost::asio::awaitable<bool> writeEvents(const WireCodec::ResponseHeader &head, std::string events) = 0;
};

/** Result of one attempt at one target. */
struct AttemptResult
{
    coordination::entry::AttemptOutcome outcome = coordination::entry::AttemptOutcome::Broken;
    bool mayHaveRun = false;
    bool withheld = false; /**< nothing was sent, as the target wants no requests or may have left meanwhile */
    std::optional<Response> response; /**< complete response that is not an event stream */
    std::shared_ptr<ByteBudget::Share> responseBytes; /**< of the response, until it is delivered */
    bool streamComplete = false;
    std::uint32_t events = 0;
    std::string detail; /**< for the log */
};

/** Times without data in one attempt after which its target counts as silent. */
struct InactivityTimeouts
{
    state::Duration firstByte{}; /**< from the end of sending to the first byte of the response */
    state::Duration betweenEvents{}; /**< in an event stream */
};

/** Target of an attempt. */
struct AttemptTarget
{
    std::string id; /**< of the incarnation */
    std::uint32_t hash = 0; /**< see TargetLoad::hash() */
    std::string failureDomain;
    state::Time listConfirmed{}; /**< see Decision::targetsConfirmed */
    protocol::Endpoint endpoint;
    std::size_t maxIdleConnections = 1; /**< that this host keeps open to the target */
};

/** One attempt of a request at one target: connects, sends, and reads the response. */
class TargetAttempt
{
public:
    TargetAttempt(ServingContext &context, AttemptTarget target, InactivityTimeouts timeouts);

    /** Connects to the target; returns false and sets @p result if that fails. */
    boost::asio::awaitable<bool> connect(AttemptResult &result);

    /**
     * Connects unless connect() has done so, sends @p request, which belongs to @p attemptId, and reads the header of
     * its response. Returns false and sets @p result if that fails.
     */
    boost::asio::awaitable<bool> begin(Request request, std::string attemptId, AttemptResult &result);

    /** Returns whether the target has stated that it did not run the request. Valid after begin(). */
    bool rejected() const
    {
        return m_response.notExecuted;
    }

    /**
     * Reads the rest of the response and returns the result; @p begun and @p result come from begin(). If @p streaming,
     * an event stream is forwarded to @p sink event by event.
     */
    boost::asio::awaitable<AttemptResult> finish(bool begun, AttemptResult result, bool streaming, StreamSink &sink);

    /** Ends the attempt by closing its connection. */
    void abort();

    /** Ends the attempt if the connection is not established in time. */
    void checkConnecting(state::Time now);

    /** Returns whether the target has the request and has sent nothing for longer than it should. */
    bool isSilent(state::Time now) const
    {
        return m_sent && !m_aborted && m_inactivityDeadline && now >= *m_inactivityDeadline;
    }

    /** Ends the attempt because the target is silent. */
    void giveUpSilent();

    /** Returns whether the request may have reached the target. */
    bool sent() const
    {
        return m_sent;
    }

private:
    boost::asio::awaitable<bool> send(std::shared_ptr<Request> request, AttemptResult &result);
    boost::asio::awaitable<void> receiveBody(bool streaming, StreamSink &sink, AttemptResult &result);
    boost::asio::awaitable<bool> readHead(const std::string &attemptId, AttemptResult &result);
    boost::asio::awaitable<bool> readBodyChunk(std::string &bytes, AttemptResult &result);
    boost::asio::awaitable<void> readFullResponse(AttemptResult &result);
    boost::asio::awaitable<void> readStream(StreamSink &sink, AttemptResult &result);
    void recordStatement(const ResponseFields &response);
    void logStatementChanges(const ResponseFields &response,
                             const coordination::entry::StatementChanges &changes,
                             const std::string &limitBefore);
    bool isWithheld(AttemptResult &result) const;
    void returnConnection();
    void startInactivityTimer(state::Duration timeout);
    bool keep(std::size_t bytes, AttemptResult &result);

    ServingContext &m_context;
    AttemptTarget m_target;
    InactivityTimeouts m_timeouts;
    std::unique_ptr<TargetConnection> m_connection;
    std::optional<ResponseReader> m_reader;
    std::shared_ptr<ByteBudget::Share> m_bytes; /**< of the response that is being received */
    ResponseFields m_response; /**< of the header that was read */
    std::shared_ptr<RequestWrite> m_requestWrite = std::make_shared<RequestWrite>();
    std::optional<state::Time> m_inactivityDeadline;
    state::Time m_sentAt{};
    bool m_isHead = false; /**< the request asks for the header of a response only */
    bool m_firstOnConnection = true; /**< no other request was sent on the connection before */
    bool m_eventsForwarded = false;
    bool m_sent = false;
    bool m_aborted = false;
    bool m_stalled = false;
    bool m_tooLarge = false; /**< ended, as the responses of all attempts take too much memory */
};

} // namespace sapphirecove::transport::entry
