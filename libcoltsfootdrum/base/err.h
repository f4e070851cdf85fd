/* Errors: one GError domain whose codes differ by the remedy.  A message says
   what is wrong and ends with what the reader can do about it.  */

#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <glib.h>

typedef enum
{
  CFD_ERROR_SETTING,     /* A flag or variable is invalid; correct it.  */
  CFD_ERROR_RECORD,      /* A record is malformed or of an unknown schema.  */
  CFD_ERROR_FRAME,       /* A frame from a peer is malformed or too large.  */
  CFD_ERROR_AUTH,        /* A peer or caller failed authentication.  */
  CFD_ERROR_ADDRESS,     /* An address isn't IP:PORT or can't be bound.  */
  CFD_ERROR_CONFLICT,    /* Another writer was first; read and retry.  */
  CFD_ERROR_NOT_FOUND,   /* No such record, request or peer.  */
  CFD_ERROR_UNAVAILABLE, /* The remote side is down or slow; retry later.  */
  CFD_ERROR_UNKNOWN,     /* It isn't known whether the call took effect.  */
  CFD_ERROR_LIMIT        /* A size or count limit was reached.  */
} cfd_error_t;

#define CFD_ERROR (cfd_error_quark ())
GQuark cfd_error_quark (void);

#endif
