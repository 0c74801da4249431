#pragma once

#include <cstring>

// h2o's headers declare C functions and have no guard for C++ of their own.
extern "C" {
#include <h2o.h>
#include <h2o/http1client.h>
}
