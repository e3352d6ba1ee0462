#pragma once

#include <cstddef>
#include <random>
#include <string>

namespace sapphirecove::tests {

/** Returns @p text after one to four random edits: bytes changed, removed, duplicated, inserted or cut off. */
inline std::string mutate(std::string text, std::mt19937_64 &random)
{
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t position = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[position] = static_cast<char>(random() % 256);
            break;
        case 1:
            text.erase(position, 1 + random() % 8);
            break;
        case 2:
            text.insert(position, text.substr(position, 1 + random() % 8));
            break;
        case 3:
            text.insert(position, 1, "{}[]\",:-0e9\\"[random() % 12]);
            break;
        default:
            text.resize(position);
            break;
        }
    }
    return text;
}

} // namespace sapphirecove::tests
