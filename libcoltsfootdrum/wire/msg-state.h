/* What one end of a link remembers of the frames that went in one direction,
   so that later frames say less: names by number, the stamp and the revision
   by what was added since, an incarnation by its exclusive or with the last.
   TCP keeps the order, so the sender's and the receiver's state agree frame by
   frame; both start empty with each link.

   A name goes as text the first time, which gives it the next of
   MSG_NAMES_MAX numbers at both ends, and as that number afterwards.  Numbers
   are given out in turn, so that an old name loses its number to a new one and
   neither end keeps more.  The empty string gets none.  */

#ifndef WIRE_MSG_STATE_H
#define WIRE_MSG_STATE_H

#include "base/err.h"
#include <stdbool.h>
#include <stdint.h>

/* Covers the accounts and running requests of one link; a number takes one
   byte.  */
#define MSG_NAMES_MAX 64u

typedef struct
{
  uint64_t stamp;
  uint64_t revision;
  uint64_t incarnation;       /* of the last grant or request */
  uint32_t next;              /* number that the next name gets */
  char *names[MSG_NAMES_MAX]; /* NULL before the first */
  GHashTable *numbers;        /* at the sender: name to slot; NULL before */
} msg_state_t;

/* A state starts as all zeros.  */
void msg_state_clear (msg_state_t *state);

/* At the sender: whether NAME has a number; if not it gets the next one.  */
bool msg_state_intern_name (msg_state_t *state, const char *name,
                            uint32_t *number);
/* At the sender, when a frame was not sent after all: its names are unknown
   to the receiver.  All are sent as text again, from number NEXT on.  */
void msg_state_reset_names (msg_state_t *state, uint32_t next);

/* At the receiver.  */
void msg_state_add_name (msg_state_t *state, const char *name);
/* The name of a number, NULL when the sender never gave it out.  */
const char *msg_state_get_name (const msg_state_t *state, uint64_t number);

/* The stamp as what was added since LAST: mostly 1 to 3 bytes.  False when it
   can't be said: no clock of ours steps back or by millennia.  */
bool msg_stamp_encode (uint64_t last, uint64_t stamp, uint64_t *code);
uint64_t msg_stamp_decode (uint64_t last, uint64_t code);

#endif
