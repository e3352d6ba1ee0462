#pragma once

#include "transport/data/activerequest.h"
#include "transport/data/admission.h"
#include "transport/data/datacontext.h"
#include "transport/data/readahead.h"
#include "transport/data/requesttable.h"
#include "transport/data/responsewriter.h"
#include "transport/watchdog.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sapphirecove::transport {

/** State that all callers' connections share; used by the data thread only. */
struct DataState
{
    const DataContext &context;
    std::shared_ptr<RequestTable> requests;
    std::shared_ptr<const AppliedConfiguration> configuration; /**< null before the first one is applied */
    bool draining = false;
    /** Sends an event to the decisions thread; returns false if the ring is full. */
    std::function<bool(coordination::Event)> trySend;
};

/** Serves the requests of one caller's connection in sequence. */
class CallerConnection
{
public:
    CallerConnection(DataState &state, boost::asio::ip::tcp::socket socket);

    /** Serves requests until the connection is closed. */
    boost::asio::awaitable<void> run();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** Refusal of a request that has not been accepted. */
    struct EarlyRefusal
    {
        coordination::Refusal refusal;
        std::optional<int> status; /**< overrides the HTTP status of the reason */
        bool close = true; /**< the rest of the request has not been read */
    };

    boost::asio::awaitable<bool> serveNext();
    boost::asio::awaitable<bool> readHead(Parser &parser);
    boost::asio::awaitable<bool> readBody(Parser &parser);
    boost::asio::awaitable<bool> serveRequest(Parser &parser, const RequestHead &head);
    boost::asio::awaitable<bool> serveAccepted(ActiveRequest &request, bool keepAlive);
    boost::asio::awaitable<void> runDispatches(ActiveRequest &request, ResponseWriter &writer);
    boost::asio::awaitable<bool> refuse(const EarlyRefusal &refusal, bool keepAlive);
    boost::asio::awaitable<void> continueIfExpected(const Parser &parser);
    std::optional<EarlyRefusal> refusalFor(const boost::system::error_code &error) const;
    std::optional<EarlyRefusal> checkAcceptance(const Parser &parser) const;
    std::uint64_t bodyLimit() const;
    state::Duration bodyTimeout(const Parser &parser) const;
    ReceivedHead receivedHead(const Parser &parser) const;
    static ForwardedRequest forwardedRequest(Parser &parser, const RequestHead &head, const AdmittedRequest &admitted);

    DataState &m_state;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    Watchdog m_watchdog;
    ReadAhead m_readAhead;
    // Keeps the configuration alive that the RequestHead of the current request points into.
    std::shared_ptr<const AppliedConfiguration> m_configuration;
};

} // namespace sapphirecove::transport
