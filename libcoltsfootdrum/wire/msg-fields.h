/* The layout of each message kind as a table.  One table drives encoding,
   decoding and their checks, so that the three can't drift apart.  */

#ifndef WIRE_MSG_FIELDS_H
#define WIRE_MSG_FIELDS_H

#include "wire/msg.h"

/* Longest path, header line or detail.  */
#define MSG_TEXT_MAX (64u * 1024)
/* Most records in one part of the configuration: all of a large fleet.  */
#define MSG_RECORDS_MAX 32768u
/* Longest JSON text of one configuration record: a platform object.  */
#define MSG_RECORD_MAX (1024u * 1024 + 4096)

typedef enum
{
  FIELD_U32,
  FIELD_U64,
  FIELD_INCARNATION, /* a 64-bit number, mostly that of the last frame */
  FIELD_DOUBLE,      /* a finite double */
  FIELD_TOKENS,      /* the same, told in whole tokens */
  FIELD_TOKEN_LIMIT, /* tokens that may be infinite */
  FIELD_BOOL,
  FIELD_ENUM,    /* an enumeration of 1 to MAX */
  FIELD_NAME,    /* at most MSG_NAME_MAX bytes; by number in short frames */
  FIELD_STRING,  /* at most MAX bytes, none of them zero */
  FIELD_BYTES,   /* at most MAX bytes */
  FIELD_STRINGS, /* at most COUNT_MAX strings of at most MAX bytes */
  FIELD_STRUCT,  /* a nested struct of SHAPE */
  FIELD_STRUCTS  /* at most COUNT_MAX structs of SHAPE */
} msg_field_type_t;

/* A field that is added to an existing layout must be no FIELD_NAME: an older
   receiver would skip it, and the two ends would number names differently.

   Tokens are rounded, which takes 1 to 5 bytes in place of 9.  Counters are
   absolute and each is rounded by itself, so half a token never adds up.  */

typedef struct msg_layout msg_layout_t;

typedef struct
{
  const char *name;
  msg_field_type_t type;
  size_t offset;       /* in the struct of the layout */
  size_t max;          /* see the types */
  size_t count_offset; /* of the uint32_t that counts strings or rows */
  uint32_t max_count;
  const msg_layout_t *layout;
  bool is_optional; /* older senders don't have it: then it reads as zero */
} msg_field_t;

struct msg_layout
{
  const char *name;
  size_t size;
  uint32_t count;
  const msg_field_t *fields;
};

/* NULL for a kind that does not exist.  */
const msg_layout_t *msg_get_layout (unsigned kind);

/* Kind, stamp and revision come before the fields of the layout.  */
#define MSG_PREFIX_FIELDS 3u

#endif
