#include "bench/workload.h"

#include "standins/completions.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace sapphirecove::load {

namespace json = boost::json;

namespace {

/** Standard deviation of the logarithm of prompt lengths. */
constexpr double PromptLengthSigma = 0.5;

RequestClass chatClass(const char *name,
                       double share,
                       const char *tier,
                       int promptTokens,
                       int maxPromptTokens,
                       int templateBytes,
                       int maxTokens,
                       int deadlineMs)
{
    RequestClass result;
    result.name = name;
    result.share = share;
    result.tier = tier;
    result.promptTokens = promptTokens;
    result.maxPromptTokens = maxPromptTokens;
    result.templateBytes = templateBytes;
    result.maxTokens = maxTokens;
    result.deadlineMs = deadlineMs;
    return result;
}

RequestClass serviceClass(
    const char *name, double share, const char *tier, const char *method, const char *path, bool hasIdempotencyKey)
{
    RequestClass result;
    result.name = name;
    result.share = share;
    result.tier = tier;
    result.isChat = false;
    result.method = method;
    result.path = path;
    result.hasIdempotencyKey = hasIdempotencyKey;
    result.deadlineMs = 5000;
    return result;
}

/** Returns @p bytes of text that depends on @p seed only. */
std::string generateText(std::uint64_t seed, std::size_t bytes)
{
    std::string text;
    for (std::uint64_t index = 0; text.size() < bytes; ++index) {
        text += standins::completionToken(seed, index);
    }
    text.resize(bytes);
    return text;
}

} // namespace

std::vector<RequestClass> requestClassesFor(const std::string &user)
{
    // Prompts of drafts are about a hundred times longer than those of tag requests; drafts are rare, tags frequent.
    if (user == "adinkra") {
        return { chatClass("layout-draft", 0.03, "urgent", 9000, 11000, 4096, 300, 30000),
                 chatClass("order-answer", 0.27, "normal", 600, 4000, 1024, 100, 30000),
                 chatClass("role-tag", 0.40, "normal", 90, 600, 0, 12, 15000),
                 serviceClass("order-status", 0.25, "normal", "GET", "orders-app/orders/", false),
                 serviceClass("print-order", 0.05, "urgent", "POST", "orders-app/print/", true) };
    }
    if (user == "daegu") {
        return { chatClass("index-draft", 0.03, "urgent", 18000, 28000, 8192, 400, 40000),
                 chatClass("summary-entry", 0.30, "normal", 800, 4000, 2048, 150, 40000),
                 chatClass("keyword-tag", 0.42, "normal", 180, 900, 0, 16, 15000),
                 serviceClass("catalogue-lookup", 0.20, "normal", "GET", "catalogue-app/entries/", false),
                 serviceClass("catalogue-commit", 0.05, "urgent", "POST", "catalogue-app/commit/", true) };
    }
    return {};
}

Workload::Workload(std::vector<RequestClass> classes,
                   std::vector<LoadCustomer> customers,
                   std::string model,
                   double promptScale,
                   std::uint64_t seed)
    : m_classes(std::move(classes))
    , m_customers(std::move(customers))
    , m_model(std::move(model))
    , m_promptScale(promptScale)
    , m_random(seed)
    , m_runId(std::to_string(std::random_device{}()))
{
}

LoadRequest Workload::next()
{
    std::vector<double> classShares;
    classShares.reserve(m_classes.size());
    for (const auto &requestClass : m_classes) {
        classShares.push_back(requestClass.share);
    }
    std::vector<double> customerShares;
    customerShares.reserve(m_customers.size());
    for (const auto &customer : m_customers) {
        customerShares.push_back(customer.share);
    }
    LoadRequest request;
    request.requestClass =
        &m_classes[std::discrete_distribution<std::size_t>(classShares.begin(), classShares.end())(m_random)];
    request.customer =
        &m_customers[std::discrete_distribution<std::size_t>(customerShares.begin(), customerShares.end())(m_random)];
    ++m_requestNumber;
    if (request.requestClass->isChat) {
        fillChat(request);
    } else {
        fillService(request);
    }
    return request;
}

void Workload::fillChat(LoadRequest &request)
{
    const auto &requestClass = *request.requestClass;
    std::lognormal_distribution<double> length(std::log(requestClass.promptTokens * m_promptScale), PromptLengthSigma);
    const double tokens = std::min(length(m_random), requestClass.maxPromptTokens * m_promptScale);
    const auto bytes = static_cast<std::size_t>(tokens * static_cast<double>(standins::BytesPerToken));
    // Requests of one customer and class begin with the same template, which a prefix cache can reuse.
    const std::string templateKey = request.customer->name + "/" + requestClass.name;
    std::string prompt =
        generateText(standins::promptHash(templateKey), static_cast<std::size_t>(requestClass.templateBytes));
    const std::uint64_t uniqueSeed = m_random();
    prompt += generateText(uniqueSeed, std::max(bytes, prompt.size() + 8) - prompt.size());
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.body = json::serialize(json::value{
        { "model", m_model },
        { "stream", true },
        { "max_tokens", requestClass.maxTokens },
        { "messages", json::array{ json::object{ { "role", "user" }, { "content", prompt } } } },
    });
    request.expectedContent = standins::expectedCompletion(prompt, requestClass.maxTokens);
}

void Workload::fillService(LoadRequest &request)
{
    const auto &requestClass = *request.requestClass;
    request.method = requestClass.method;
    request.target = "/services/" + requestClass.path + std::to_string(m_requestNumber);
    request.body =
        requestClass.method == "POST" ? R"({"number":)" + std::to_string(m_requestNumber) + "}" : std::string();
    request.idempotencyKey =
        requestClass.hasIdempotencyKey ? "load-" + m_runId + "-" + std::to_string(m_requestNumber) : std::string();
}

} // namespace sapphirecove::load
