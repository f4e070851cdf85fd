#include "base/err.h"

G_DEFINE_QUARK (cfd - error - quark, cfd_error)
