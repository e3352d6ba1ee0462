#pragma once

#include "cli/configurationlog.h"
#include "transport/syncclient.h"

#include <functional>
#include <vector>

namespace sapphirecove::tests {

/** Configuration stream in memory whose clock moves only while the publisher waits. */
class FakeLog final : public cli::ConfigurationLog
{
public:
    state::Result<protocol::LogReadResponse> read(state::Offset from, state::Duration wait) override
    {
        if (readable && !readable()) {
            return state::fail("log.read", "log", "status 503");
        }
        protocol::LogReadResponse answer;
        answer.first = first;
        answer.next = std::max(from, first);
        for (const state::StoredRecord &stored : records) {
            if (stored.offset >= answer.next && answer.records.size() < 2) {
                answer.records.push_back(stored);
            }
        }
        if (!answer.records.empty()) {
            answer.next = answer.records.back().offset + 1;
        } else {
            time += wait;
        }
        return answer;
    }

    state::Result<void> append(const state::ConfigurationPublished &record) override
    {
        ++appends;
        if (beforeAppend) {
            beforeAppend();
        }
        if (storesAppend) {
            add(record);
        }
        if (!appendFailure.empty()) {
            return state::fail(appendFailure, "log", "lost");
        }
        return {};
    }

    state::Time now() override
    {
        return time;
    }

    void pause(state::Duration duration) override
    {
        time += duration;
    }

    void add(const state::LogRecord &record)
    {
        records.push_back({ first + records.size(), time, record });
    }

    std::vector<state::StoredRecord> records;
    state::Offset first = 0;
    state::Time time{};
    int appends = 0;
    bool storesAppend = true;
    std::string appendFailure; /**< step of the Failure that the append answers with */
    std::function<void()> beforeAppend;
    std::function<bool()> readable;
};

} // namespace sapphirecove::tests
