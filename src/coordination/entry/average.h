#pragma once

namespace sapphirecove::coordination::entry {

/** Exponentially weighted moving average that starts from a prior. */
class Average
{
public:
    /** @p weight of each new sample is between 0 and 1. */
    constexpr Average(double prior, double weight)
        : m_value(prior)
        , m_weight(weight)
    {
    }

    void add(double sample)
    {
        // The first sample replaces the prior, which is only an estimate.
        m_value = m_empty ? sample : m_value + m_weight * (sample - m_value);
        m_empty = false;
    }

    double value() const
    {
        return m_value;
    }

    /** Returns whether no sample was added yet. */
    bool empty() const
    {
        return m_empty;
    }

private:
    double m_value;
    double m_weight;
    bool m_empty = true;
};

} // namespace sapphirecove::coordination::entry
