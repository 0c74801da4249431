#pragma once

#include <cstring>

// h2o's headers declare C functions without an extern "C" guard.
extern "C" {
#include <h2o.h>
#include <h2o/http1client.h>
}
