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

/** State of the data thread that all callers' connections share. */
struct DataState
{
    const DataContext &context;
    std::shared_ptr<RequestTable> requests;
    std::shared_ptr<const AppliedConfiguration> configuration; /**< null before the first one is applied */
    bool draining = false;
    std::function<bool(coordination::Event)> trySend; /**< passes an event on unless the ring is full */
};

/** Serves the requests of one caller's connection, one after the other. */
class CallerConnection
{
public:
    CallerConnection(DataState &state, boost::asio::ip::tcp::socket socket);

    /** Serves the connection to its end. */
    boost::asio::awaitable<void> run();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** Refusal before a request is accepted. */
    struct EarlyRefusal
    {
        coordination::Refusal refusal;
        std::optional<int> status; /**< replaces the status of the reason */
        bool close = true; /**< the rest of the request has not been read */
    };

    boost::asio::awaitable<bool> serveNext();
    boost::asio::awaitable<bool> readHead(Parser &parser);
    boost::asio::awaitable<bool> readBody(Parser &parser);
    boost::asio::awaitable<bool> serveCall(Parser &parser, const CallHead &head);
    boost::asio::awaitable<bool> serveAccepted(ActiveRequest &request, bool keepAlive);
    boost::asio::awaitable<void> carryOut(ActiveRequest &request, ResponseWriter &answer);
    boost::asio::awaitable<bool> refuse(const EarlyRefusal &refusal, bool keepAlive);
    boost::asio::awaitable<void> continueIfExpected(const Parser &parser);
    std::optional<EarlyRefusal> refusalOf(const boost::system::error_code &error) const;
    std::optional<EarlyRefusal> checkAcceptance(const Parser &parser) const;
    std::uint64_t bodyLimit() const;
    state::Duration bodyTimeLimit(const Parser &parser) const;
    ReceivedHead receivedHead(const Parser &parser) const;
    static ForwardedCall forwardedCall(Parser &parser, const CallHead &head, const AdmittedCall &call);

    DataState &m_state;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    Watchdog m_watchdog;
    ReadAhead m_readAhead;
    // Keeps the configuration alive to which the current request's head refers.
    std::shared_ptr<const AppliedConfiguration> m_configuration;
};

} // namespace sapphirecove::transport
