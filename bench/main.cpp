#include "bench/loadrun.h"

#include <CLI/CLI.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

using namespace sapphirecove::load;

namespace {

constexpr int ExitWrongCompletions = 1;

struct Arguments
{
    std::vector<std::string> hosts;
    std::vector<std::string> customers;
    std::string keys;
    std::vector<std::string> classes;
    std::string user = "adinkra";
    std::string model;
    std::string csv;
    double promptScale = 1;
    RunOptions run;
};

ConnectionPool::Host parseHost(const std::string &text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    }
    ConnectionPool::Host host;
    host.name = text;
    host.endpoint = { boost::asio::ip::make_address(text.substr(0, colon)), port };
    return host;
}

/** Parses NAME=KEY or NAME=KEY=SHARE. */
LoadCustomer parseCustomer(const std::string &text)
{
    const auto keySeparator = text.find('=');
    if (keySeparator == std::string::npos) {
        throw std::invalid_argument("--customer: expected NAME=KEY or NAME=KEY=SHARE");
    }
    const auto shareSeparator = text.find('=', keySeparator + 1);
    LoadCustomer customer;
    customer.name = text.substr(0, keySeparator);
    customer.key = text.substr(
        keySeparator + 1, shareSeparator == std::string::npos ? shareSeparator : shareSeparator - keySeparator - 1);
    customer.share = shareSeparator == std::string::npos ? 1 : std::stod(text.substr(shareSeparator + 1));
    return customer;
}

/** Reads a file with a customer name and its key on each line; lines that start with # are comments. */
std::vector<LoadCustomer> readCustomers(const std::string &path)
{
    std::vector<LoadCustomer> customers;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        LoadCustomer customer;
        if (!line.starts_with('#') && words >> customer.name >> customer.key) {
            customers.push_back(customer);
        }
    }
    if (customers.empty()) {
        throw std::invalid_argument("--keys: no customers in " + path);
    }
    return customers;
}

std::vector<RequestClass> selectedClasses(const Arguments &arguments)
{
    auto classes = requestClassesFor(arguments.user);
    if (!arguments.classes.empty()) {
        std::erase_if(classes, [&](const RequestClass &requestClass) {
            const auto &names = arguments.classes;
            return std::find(names.begin(), names.end(), requestClass.name) == names.end();
        });
    }
    if (classes.empty()) {
        throw std::invalid_argument("no request class is selected");
    }
    return classes;
}

int runLoad(Arguments arguments)
{
    for (const auto &host : arguments.hosts) {
        arguments.run.hosts.push_back(parseHost(host));
    }
    auto customers = arguments.keys.empty() ? std::vector<LoadCustomer>() : readCustomers(arguments.keys);
    for (const auto &customer : arguments.customers) {
        customers.push_back(parseCustomer(customer));
    }
    if (customers.empty()) {
        customers.push_back({ "nobody", "none", 1 });
    }
    if (arguments.model.empty()) {
        arguments.model = arguments.user == "daegu" ? "index-llm" : "layout-llm";
    }
    Workload workload(
        selectedClasses(arguments), customers, arguments.model, arguments.promptScale, arguments.run.seed);
    const double duration = arguments.run.duration;
    LoadRun run(std::move(arguments.run), std::move(workload));
    run.run();
    run.statistics().print(std::cout, duration);
    std::cout << "not sent because too many requests were in progress: " << run.skipped() << '\n';
    if (!arguments.csv.empty()) {
        std::ofstream file(arguments.csv);
        run.statistics().writeCsv(file);
        if (!file.flush()) {
            throw std::runtime_error("cannot write " + arguments.csv);
        }
    }
    return run.statistics().hasWrongCompletions() ? ExitWrongCompletions : 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Open-loop load generator; exits with 1 if an answer was wrong.", "sapphirecove-load");
    Arguments arguments;
    const std::map<std::string, RateShape> shapes{ { "constant", RateShape::Constant },
                                                   { "burst", RateShape::Burst },
                                                   { "diurnal", RateShape::Diurnal } };
    app.set_version_flag("--version", SAPPHIRECOVE_VERSION);
    app.add_option("--host", arguments.hosts, "Addresses ADDRESS:PORT, used in turn.")->required();
    app.add_option("--customer", arguments.customers, "Customers NAME=KEY or NAME=KEY=SHARE.");
    app.add_option("--keys", arguments.keys, "File with one customer and its key in each line.")
        ->check(CLI::ExistingFile);
    app.add_option("--user", arguments.user, "Mix of requests.")->check(CLI::IsMember({ "adinkra", "daegu" }));
    app.add_option("--class", arguments.classes, "Request classes of the mix to send; all by default.");
    app.add_option("--model", arguments.model, "Model of the chat calls; the user's by default.");
    app.add_option("--prompt-scale", arguments.promptScale, "Factor on the prompt lengths.")
        ->check(CLI::Range(0.001, 100.0));
    app.add_option("--shape", arguments.run.shape, "Arrival rate over the run: constant, burst or diurnal.")
        ->transform(CLI::CheckedTransformer(shapes));
    app.add_option("--rate", arguments.run.rate, "Requests per second.")->check(CLI::Range(0.01, 20000.0));
    app.add_option("--duration", arguments.run.duration, "Length of the run in seconds.")
        ->check(CLI::Range(0.1, 3600.0));
    app.add_option("--seed", arguments.run.seed, "Seed of arrivals and requests.");
    app.add_option("--max-in-flight", arguments.run.maxInFlight, "Requests in progress at most.");
    app.add_option("--csv", arguments.csv, "File for one line per request.");
    CLI11_PARSE(app, argc, argv);
    try {
        return runLoad(std::move(arguments));
    } catch (const std::exception &error) {
        std::cerr << "error: " << error.what() << '\n';
        return 2;
    }
}
