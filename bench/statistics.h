#pragma once

#include "bench/workload.h"

#include <iosfwd>
#include <map>

namespace sapphirecove::load {

/** How one request ended; times in milliseconds. */
struct CallResult
{
    double startedMs = 0; /**< from the start of the run */
    std::string requestClass;
    std::string tier;
    std::string customer;
    std::string host;
    int deadlineMs = 0;
    int status = 0; /**< 0 if no answer arrived */
    std::string reason; /**< of a rejection */
    std::string executed; /**< of a rejection */
    bool isComplete = false; /**< the whole answer arrived */
    bool isWrong = false; /**< the answer differs from what the stand-in engine gives for the prompt */
    double firstTokenMs = -1; /**< from the start of the request */
    double totalMs = 0;
    int tokens = 0;
    std::vector<float> tokenGapsMs;

    /** The whole answer arrived in time. */
    bool isGood() const
    {
        return isComplete && !isWrong && status == 200 && totalMs <= deadlineMs;
    }
};

/** Sums of a run for each tier. */
class Statistics
{
public:
    void add(CallResult result);

    /** Prints one block for each tier; @p seconds is the length of the run. */
    void print(std::ostream &out, double seconds) const;
    /** Writes one line for each request. */
    void writeCsv(std::ostream &out) const;

    /** Returns whether any answer was wrong. */
    bool hasWrongCompletions() const;

private:
    std::vector<CallResult> m_results;
};

} // namespace sapphirecove::load
