#include "coordination/entry/slidingwindow.h"

#include <algorithm>

namespace sapphirecove::coordination::entry {

namespace {

/** Number of steps in a span: the sum is exact to a fortieth of the span. */
constexpr int StepCount = 40;

} // namespace

SlidingWindow::SlidingWindow(state::Duration span)
    : m_span(span)
    , m_stepLength(span / StepCount)
{
}

void SlidingWindow::add(double amount, state::Time at)
{
    if (m_steps.empty() || at >= m_steps.back().begin + m_stepLength) {
        m_steps.push_back({ at, 0 });
    }
    m_steps.back().amount += amount;
    m_sum += amount;
}

void SlidingWindow::takeBack(double amount)
{
    for (Step &step : m_steps) {
        const double taken = std::min(step.amount, amount);
        step.amount -= taken;
        m_sum -= taken;
        amount -= taken;
        if (amount <= 0) {
            return;
        }
    }
}

double SlidingWindow::sum(state::Time now)
{
    expire(now);
    return m_sum;
}

double SlidingWindow::sumBetween(state::Time begin, state::Time end) const
{
    double sum = 0;
    for (const auto &step : m_steps) {
        sum += step.begin >= begin && step.begin < end ? step.amount : 0;
    }
    return sum;
}

state::Time SlidingWindow::timeAtOrBelow(double level, state::Time now)
{
    expire(now);
    double left = m_sum;
    for (const auto &step : m_steps) {
        if (left <= level) {
            return now;
        }
        left -= step.amount;
        if (left <= level) {
            return step.begin + m_stepLength + m_span;
        }
    }
    return now + m_span;
}

void SlidingWindow::expire(state::Time now)
{
    while (!m_steps.empty() && m_steps.front().begin + m_stepLength + m_span <= now) {
        m_sum -= m_steps.front().amount;
        m_steps.pop_front();
    }
    if (m_steps.empty()) {
        m_sum = 0;
    }
}

} // namespace sapphirecove::coordination::entry
