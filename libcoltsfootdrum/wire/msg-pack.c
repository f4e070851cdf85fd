#include "wire/msg-fields.h"

#include <math.h>
#include <msgpack/pack.h>
#include <string.h>

/* Whole numbers below this are packed as integers: 1 to 5 bytes for the
   counters of tokens that most reals are, in place of 9.  */
#define WHOLE_MAX 4294967296.0
/* Room for most frames without growing.  */
#define FRAME_USUAL 256
/* Longest length before a frame.  */
#define LENGTH_MAX 5u

typedef struct
{
  msgpack_packer packer;
  msg_state_t *state;   /* NULL for a whole frame */
  uint64_t incarnation; /* the last; 0 in a whole frame */
} writer_t;

static int
append (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *)bytes, length);
  return 0;
}

static bool
pack_real (writer_t *writer, double value, bool finite)
{
  if (isnan (value) || (finite && !isfinite (value)))
    return false;
  if (value >= 0 && value < WHOLE_MAX && value == floor (value))
    msgpack_pack_uint64 (&writer->packer, (uint64_t)value);
  else
    msgpack_pack_double (&writer->packer, value);
  return true;
}

/* An infinity takes 5 bytes as a float.  */
static bool
pack_tokens (writer_t *writer, double value, bool finite)
{
  if (!isinf (value) || finite)
    return pack_real (writer, round (value), finite);
  msgpack_pack_float (&writer->packer, (float)value);
  return true;
}

static bool
pack_choice (writer_t *writer, uint32_t value, size_t most)
{
  msgpack_pack_uint32 (&writer->packer, value);
  return value >= 1 && value <= most;
}

static bool
pack_string (writer_t *writer, const char *text, size_t most)
{
  const char *safe = text != NULL ? text : "";
  size_t length = strlen (safe);

  if (length > most)
    return false;
  msgpack_pack_str_with_body (&writer->packer, safe, length);
  return true;
}

static bool
pack_name (writer_t *writer, const char *name, size_t most)
{
  uint32_t number;

  if (writer->state == NULL || name == NULL || strlen (name) > most
      || !msg_state_intern_name (writer->state, name, &number))
    return pack_string (writer, name, most);
  msgpack_pack_uint32 (&writer->packer, number);
  return true;
}

static bool
pack_bytes (writer_t *writer, const msg_bytes_t *bytes, size_t most)
{
  if (bytes->length > most)
    return false;
  msgpack_pack_bin (&writer->packer, bytes->length);
  if (bytes->length > 0)
    msgpack_pack_bin_body (&writer->packer, bytes->data, bytes->length);
  return true;
}

static void
pack_bool (writer_t *writer, bool value)
{
  if (value)
    msgpack_pack_true (&writer->packer);
  else
    msgpack_pack_false (&writer->packer);
}

static bool pack_fields (writer_t *writer, const msg_shape_t *shape,
                         const uint8_t *from);

static void
pack_incarnation (writer_t *writer, uint64_t value)
{
  msgpack_pack_uint64 (&writer->packer, value ^ writer->incarnation);
  if (writer->state != NULL)
    writer->incarnation = value;
}

static bool
pack_strings (writer_t *writer, const msg_field_t *field,
              const char *const *strings, uint32_t count)
{
  if (count > field->count_max)
    return false;
  msgpack_pack_array (&writer->packer, count);
  for (uint32_t i = 0; i < count; i++)
    if (!pack_string (writer, strings[i], field->max))
      return false;
  return true;
}

static bool
pack_row (writer_t *writer, const msg_shape_t *shape, const uint8_t *from)
{
  msgpack_pack_array (&writer->packer, shape->count);
  return pack_fields (writer, shape, from);
}

static bool
pack_rows (writer_t *writer, const msg_field_t *field, const uint8_t *rows,
           uint32_t count)
{
  if (count > field->count_max)
    return false;
  msgpack_pack_array (&writer->packer, count);
  for (uint32_t i = 0; i < count; i++)
    if (!pack_row (writer, field->shape, rows + i * field->shape->size))
      return false;
  return true;
}

/* False when the receiver would refuse the value.  */
static bool
pack_field (writer_t *writer, const msg_field_t *field, const uint8_t *from)
{
  const void *value = from + field->offset;
  const void *count = from + field->count_offset;

  switch (field->type)
    {
    case FIELD_U32:
      msgpack_pack_uint32 (&writer->packer, *(const uint32_t *)value);
      return true;
    case FIELD_U64:
      msgpack_pack_uint64 (&writer->packer, *(const uint64_t *)value);
      return true;
    case FIELD_INCARNATION:
      pack_incarnation (writer, *(const uint64_t *)value);
      return true;
    case FIELD_REAL:
      return pack_real (writer, *(const double *)value, true);
    case FIELD_TOKENS:
      return pack_tokens (writer, *(const double *)value, true);
    case FIELD_LIMIT:
      return pack_tokens (writer, *(const double *)value, false);
    case FIELD_BOOL:
      pack_bool (writer, *(const bool *)value);
      return true;
    case FIELD_CHOICE:
      return pack_choice (writer, *(const uint32_t *)value, field->max);
    case FIELD_NAME:
      return pack_name (writer, *(const char *const *)value, field->max);
    case FIELD_STRING:
      return pack_string (writer, *(const char *const *)value, field->max);
    case FIELD_BYTES:
      return pack_bytes (writer, value, field->max);
    case FIELD_STRINGS:
      return pack_strings (writer, field, *(const char *const *const *)value,
                           *(const uint32_t *)count);
    case FIELD_ROW:
      return pack_row (writer, field->shape, value);
    case FIELD_ROWS:
      return pack_rows (writer, field, *(const uint8_t *const *)value,
                        *(const uint32_t *)count);
    }
  return false;
}

static bool
pack_fields (writer_t *writer, const msg_shape_t *shape, const uint8_t *from)
{
  for (uint32_t i = 0; i < shape->count; i++)
    if (!pack_field (writer, &shape->fields[i], from))
      return false;
  return true;
}

/* False when the stamp can't be said.  */
static bool
pack_start (writer_t *writer, const msg_t *message, uint32_t field_count)
{
  const msg_state_t *state = writer->state;
  uint64_t stamp = message->stamp;
  uint64_t revision = message->revision;

  if (state != NULL && !msg_stamp_encode (state->stamp, stamp, &stamp))
    return false;
  if (state != NULL)
    revision -= state->revision;
  msgpack_pack_array (&writer->packer, MSG_PREFIX_FIELDS + field_count);
  msgpack_pack_uint32 (&writer->packer, message->kind);
  msgpack_pack_uint64 (&writer->packer, stamp);
  msgpack_pack_uint64 (&writer->packer, revision);
  return true;
}

static void
prepend_length (GByteArray *frame, bool is_short)
{
  g_autoptr (GByteArray) length = g_byte_array_sized_new (LENGTH_MAX);
  uint32_t whole = GUINT32_TO_BE (frame->len);
  msgpack_packer packer;

  if (is_short)
    {
      msgpack_packer_init (&packer, length, append);
      msgpack_pack_uint32 (&packer, frame->len);
    }
  else
    {
      g_byte_array_append (length, (const guint8 *)&whole, sizeof whole);
    }
  g_byte_array_prepend (frame, length->data, length->len);
}

GByteArray *
msg_encode (const msg_t *message, msg_state_t *state)
{
  const msg_shape_t *shape = msg_shape (message->kind);
  uint32_t next = state != NULL ? state->next : 0;
  writer_t writer = { .state = state };
  GByteArray *frame;

  if (shape == NULL)
    return NULL;
  if (state != NULL)
    writer.incarnation = state->incarnation;
  frame = g_byte_array_sized_new (FRAME_USUAL);
  msgpack_packer_init (&writer.packer, frame, append);
  if (!pack_start (&writer, message, shape->count)
      || !pack_fields (&writer, shape, (const uint8_t *)&message->u)
      || frame->len > MSG_FRAME_MAX)
    goto fail;
  prepend_length (frame, state != NULL);
  if (state != NULL)
    {
      state->stamp = message->stamp;
      state->revision = message->revision;
      state->incarnation = writer.incarnation;
    }
  return frame;

fail:
  if (state != NULL)
    msg_state_reset_names (state, next);
  g_byte_array_unref (frame);
  return NULL;
}
