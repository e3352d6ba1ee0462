# Writes ${OUTPUT}, a C++ file that names the commit and the sources of ${ROOT}; leaves it alone if they are the same.
include(${CMAKE_CURRENT_LIST_DIR}/sourcedigest.cmake)

list_source_digests(${ROOT} digests)
string(SHA256 sources "${digests}")
string(SUBSTRING ${sources} 0 12 sources)

# A copy without its history has no commit; the digest of the sources names what it was built from.
set(commit unknown)
execute_process(COMMAND git rev-parse --short=12 HEAD WORKING_DIRECTORY ${ROOT}
    OUTPUT_VARIABLE head OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET RESULT_VARIABLE failed)
if(NOT failed AND EXISTS ${ROOT}/.git)
    execute_process(COMMAND git status --porcelain -- src platform cmake CMakeLists.txt WORKING_DIRECTORY ${ROOT}
        OUTPUT_VARIABLE changes ERROR_QUIET)
    set(commit ${head})
    if(changes)
        string(APPEND commit "-changed")
    endif()
endif()

file(CONFIGURE OUTPUT ${OUTPUT} @ONLY CONTENT [[
#include "state/buildid.h"

namespace sapphirecove::state {

std::string_view buildCommit()
{
    return "@commit@";
}

std::string_view buildSources()
{
    return "@sources@";
}

} // namespace sapphirecove::state
]])
