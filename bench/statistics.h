#pragma once

#include "bench/workload.h"

#include <iosfwd>
#include <map>

namespace sapphirecove::load {

/** Result of one request; times in milliseconds. */
struct CallResult
{
    double startedMs = 0; /**< from the start of the run */
    std::string requestClass;
    std::string tier;
    std::string customer;
    std::string host;
    int deadlineMs = 0;
    int status = 0; /**< HTTP status; 0 if no response header arrived */
    std::string reason; /**< reason of a rejection */
    std::string executed; /**< whether the rejected request was executed, as the response states it */
    bool isComplete = false; /**< the whole response arrived */
    bool isWrong = false; /**< the text differs from the completion that the stand-in engine gives for the prompt */
    double firstTokenMs = -1; /**< from the start of the request */
    double totalMs = 0;
    int tokens = 0;
    std::vector<float> tokenGapsMs;

    /** Returns whether the complete and correct response arrived by the deadline. */
    bool isGood() const
    {
        return isComplete && !isWrong && status == 200 && totalMs <= deadlineMs;
    }
};

/** Results of a run, summarized for each tier. */
class Statistics
{
public:
    void add(CallResult result);

    /** Prints a summary of each tier; @p seconds is the length of the run. */
    void print(std::ostream &out, double seconds) const;
    /** Writes a header line and one line for each request. */
    void writeCsv(std::ostream &out) const;

    /** Returns whether any response had a wrong text; see CallResult::isWrong. */
    bool hasWrongCompletions() const;

private:
    std::vector<CallResult> m_results;
};

} // namespace sapphirecove::load
