/* Typed errors: one GError domain with a kind for each remedy.  The message
   of an error says what is wrong and ends with what the reader can do.  */

#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <glib.h>

typedef enum
{
  CFD_ERROR_SETTING,     /* A flag or variable is bad; correct it.  */
  CFD_ERROR_RECORD,      /* A record is malformed or of an unknown schema.  */
  CFD_ERROR_FRAME,       /* A frame from a peer is malformed or too large.  */
  CFD_ERROR_AUTH,        /* A peer or caller did not prove who it is.  */
  CFD_ERROR_ADDRESS,     /* Not an IP:PORT, or it can't be bound.  */
  CFD_ERROR_CONFLICT,    /* Another writer was first; read and try again.  */
  CFD_ERROR_NOT_FOUND,   /* No such record, request or peer.  */
  CFD_ERROR_UNAVAILABLE, /* The other side is down or slow; try later.  */
  CFD_ERROR_UNKNOWN,     /* Whether the call took effect is not known.  */
  CFD_ERROR_LIMIT        /* A size or count limit was reached.  */
} cfd_error_t;

#define CFD_ERROR (cfd_error_quark ())
GQuark cfd_error_quark (void);

#endif
