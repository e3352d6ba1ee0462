#pragma once

#include "protocol/documentreport.h"
#include "protocol/endpoint.h"
#include "protocol/fieldreader.h"
#include "protocol/json.h"
#include "state/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Whether a field may be left out. */
enum class Presence {
    Required,
    Optional, /**< the result keeps its value */
};

/** Bounds of a number, both inclusive. */
struct NumberBounds
{
    double lowest = 0;
    double highest = 0;
};

/**
 * Reads the fields of one object of a settings or configuration document and reports every problem, in contrast to
 * FieldReader, which stops at the first. finish() reports fields that were never read.
 */
class ObjectReader
{
public:
    /** Reads @p value, located at @p pointer; a value that is not an object is reported and read as empty. */
    ObjectReader(const json::value &value, std::string pointer, DocumentReport &report);
    ObjectReader(const json::object &object, std::string pointer, DocumentReport &report);

    /** Returns the member @p name, null if it is absent; a missing required member is reported. */
    const json::value *member(std::string_view name, Presence presence);

    /** Returns a reader of the object @p name; an absent optional object is read as empty. */
    ObjectReader object(std::string_view name, Presence presence);

    /** Returns the array @p name, empty if it is absent or not an array. */
    const json::array &array(std::string_view name, Presence presence);

    /** Reads a string that is not empty. */
    void readText(std::string_view name, std::string &result, Presence presence);

    /** Reads a string of 1 to 128 letters, digits, '.', '_' or '-'. */
    void readName(std::string_view name, std::string &result, Presence presence);

    void readFlag(std::string_view name, bool &result, Presence presence);
    void readNumber(std::string_view name, double &result, NumberBounds bounds, Presence presence);
    void readInteger(std::string_view name, std::int64_t &result, IntegerBounds bounds, Presence presence);
    void readInteger(std::string_view name, int &result, IntegerBounds bounds, Presence presence);

    /** Reads whole milliseconds. */
    void readMilliseconds(std::string_view name, state::Duration &result, IntegerBounds bounds, Presence presence);

    /** Reads an IP address and port as "127.0.0.1:8000" or "[::1]:8000". */
    void readEndpoint(std::string_view name, Endpoint &result, Presence presence);

    /** Reports every member that was never read as unknown. */
    void finish();

    /** Returns the pointer of the member @p name. */
    std::string pointerTo(std::string_view name) const;

    /** Reports that the member @p name does not meet @p expectation. */
    void reject(std::string_view name, std::string_view expectation);

    const json::object &members() const
    {
        return *m_object;
    }

private:
    const json::object *m_object;
    std::string m_pointer;
    DocumentReport &m_report;
    std::set<std::string, std::less<>> m_known;
};

/** Returns whether @p text can name a host, customer, pool, target, failure domain, region or version. */
bool isName(std::string_view text);

/** Expectation reported for a value that isName() rejects. */
constexpr std::string_view NameExpectation = "1 to 128 letters, digits, '.', '_' or '-'";

} // namespace sapphirecove::protocol
