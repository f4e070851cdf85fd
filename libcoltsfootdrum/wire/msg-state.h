/* Compression state of one direction of a link, which makes frames short.
   Names are sent as numbers, the stamp and the revision as differences from
   the last frame, and an incarnation as its exclusive or with the last one.
   TCP keeps the order of frames, so the states of sender and receiver agree
   after each frame; both start empty with each link.

   A name is sent as text the first time, which assigns it the next of
   MSG_NAMES_MAX numbers at both ends, and as that number afterwards.  Numbers
   are assigned in turn; a new name takes the number of the oldest one, which
   bounds the memory of both ends.  The empty string gets no number.  */

#ifndef WIRE_MSG_STATE_H
#define WIRE_MSG_STATE_H

#include "base/err.h"
#include <stdbool.h>
#include <stdint.h>

/* Enough for the accounts and running requests of one link; a number takes one
   byte.  */
#define MSG_NAMES_MAX 64u

typedef struct
{
  uint64_t stamp;
  uint64_t revision;
  uint64_t incarnation;       /* of the last grant or request */
  uint32_t next_number;       /* number of the next new name */
  char *names[MSG_NAMES_MAX]; /* by number; NULL if unassigned */
  GHashTable *numbers;        /* name to number; NULL at the receiver */
} msg_state_t;

/* Frees the names of STATE and sets it to all zeros, its initial value.  */
void msg_state_clear (msg_state_t *state);

/* Sender only: whether NAME has a number, which is stored in NUMBER.  If not,
   it is assigned the next number.  */
bool msg_state_intern_name (msg_state_t *state, const char *name,
                            uint32_t *number);
/* Sender only: clears all names after a frame could not be encoded, since the
   receiver will not get the names in it.  Names are then sent as text again,
   and numbered from NEXT_NUMBER on.  */
void msg_state_reset_names (msg_state_t *state, uint32_t next_number);

/* Receiver only: assigns the next number to NAME, which came as text.  */
void msg_state_add_name (msg_state_t *state, const char *name);
/* Returns the name of NUMBER, or NULL if it is unassigned.  */
const char *msg_state_get_name (const msg_state_t *state, uint64_t number);

/* Encodes STAMP as its difference from LAST, which mostly takes 1 to 3 bytes.
   Returns false if STAMP is earlier than LAST or millennia later, which the
   clocks of the fleet exclude.  */
bool msg_stamp_encode (uint64_t last, uint64_t stamp, uint64_t *code);
uint64_t msg_stamp_decode (uint64_t last, uint64_t code);

#endif
