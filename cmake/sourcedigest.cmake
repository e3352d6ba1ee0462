# Digests of the sources that the program is built from, by content.

# Sets ${result} to one line for each source below ${root}: its SHA-256 and its path.
function(list_source_digests root result)
    file(GLOB_RECURSE sources RELATIVE ${root} ${root}/src/* ${root}/platform/* ${root}/cmake/*)
    list(APPEND sources CMakeLists.txt)
    list(SORT sources)
    set(lines "")
    foreach(source IN LISTS sources)
        file(SHA256 ${root}/${source} digest)
        list(APPEND lines "${digest} ${source}")
    endforeach()
    set(${result} ${lines} PARENT_SCOPE)
endfunction()
