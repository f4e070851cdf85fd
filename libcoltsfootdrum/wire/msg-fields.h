/* Layouts of the message kinds, as tables.  One table drives encoding,
   decoding and their checks, so that the three always agree.  */

#ifndef WIRE_MSG_FIELDS_H
#define WIRE_MSG_FIELDS_H

#include "wire/msg.h"

/* Longest path, header line or detail.  */
#define MSG_TEXT_MAX (64u * 1024)
/* Most texts in one part of the configuration, enough for all records of a
   large fleet.  */
#define MSG_RECORDS_MAX 32768u
/* Longest JSON text in a part, enough for the largest platform object.  */
#define MSG_RECORD_MAX (1024u * 1024 + 4096)

typedef enum
{
  FIELD_U32,
  FIELD_U64,
  FIELD_INCARNATION, /* 64 bits, mostly the same as in the last frame */
  FIELD_DOUBLE,      /* a finite double */
  FIELD_TOKENS,      /* a finite double, rounded to whole tokens */
  FIELD_TOKEN_LIMIT, /* like FIELD_TOKENS, but may be infinite */
  FIELD_BOOL,
  FIELD_ENUM,    /* an enumeration of 1 to MAX */
  FIELD_NAME,    /* at most MAX bytes; sent as a number in short frames */
  FIELD_STRING,  /* at most MAX bytes, none of them zero */
  FIELD_BYTES,   /* at most MAX bytes */
  FIELD_STRINGS, /* at most MAX_COUNT strings of at most MAX bytes */
  FIELD_STRUCT,  /* a nested struct of LAYOUT */
  FIELD_STRUCTS  /* at most MAX_COUNT structs of LAYOUT */
} msg_field_type_t;

/* A field that is added to an existing layout must not be a FIELD_NAME,
   because an older receiver would skip it and the two ends would then number
   names differently.

   Tokens are rounded to take 1 to 5 bytes instead of 9.  Rounding errors don't
   accumulate, because counters are totals and each is rounded by itself.  */

typedef struct msg_layout msg_layout_t;

typedef struct
{
  const char *name;
  msg_field_type_t type;
  size_t offset; /* in the struct of the layout */
  size_t max;    /* see the types */
  size_t
      count_offset; /* of the uint32_t with the number of strings or structs */
  uint32_t max_count;
  const msg_layout_t *layout;
  bool is_optional; /* missing from older senders, and zero then */
} msg_field_t;

struct msg_layout
{
  const char *name;
  size_t size;
  uint32_t count;
  const msg_field_t *fields;
};

/* Returns NULL for a kind that does not exist.  */
const msg_layout_t *msg_get_layout (unsigned kind);

/* Kind, stamp and revision come before the fields of the layout.  */
#define MSG_PREFIX_FIELDS 3u

#endif
