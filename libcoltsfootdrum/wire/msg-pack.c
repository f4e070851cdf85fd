#include "wire/msg-fields.h"

#include <math.h>
#include <msgpack/pack.h>
#include <string.h>

/* Whole numbers below this are packed as integers.  Most doubles are counters
   of tokens, which then take 1 to 5 bytes instead of 9.  */
#define MAX_PACKED_INTEGER 4294967296.0
/* Enough for most frames.  */
#define INITIAL_FRAME_BYTES 256
/* Size of the longest length before a frame.  */
#define MAX_LENGTH_PREFIX_BYTES 5u

typedef struct
{
  msgpack_packer packer;
  msg_state_t *state;   /* NULL for a whole frame */
  uint64_t incarnation; /* of the last frame; 0 in a whole frame */
} writer_t;

static int
append (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *)bytes, length);
  return 0;
}

static bool
pack_double (writer_t *writer, double value, bool must_be_finite)
{
  if (isnan (value) || (must_be_finite && !isfinite (value)))
    return false;
  if (value >= 0 && value < MAX_PACKED_INTEGER && value == floor (value))
    msgpack_pack_uint64 (&writer->packer, (uint64_t)value);
  else
    msgpack_pack_double (&writer->packer, value);
  return true;
}

/* An infinity is packed as a float of 5 bytes.  */
static bool
pack_tokens (writer_t *writer, double value, bool must_be_finite)
{
  if (!isinf (value) || must_be_finite)
    return pack_double (writer, round (value), must_be_finite);
  msgpack_pack_float (&writer->packer, (float)value);
  return true;
}

static bool
pack_enum (writer_t *writer, uint32_t value, size_t max_value)
{
  msgpack_pack_uint32 (&writer->packer, value);
  return value >= 1 && value <= max_value;
}

static bool
pack_string (writer_t *writer, const char *text, size_t max_length)
{
  const char *safe = text != NULL ? text : "";
  size_t length = strlen (safe);

  if (length > max_length)
    return false;
  msgpack_pack_str_with_body (&writer->packer, safe, length);
  return true;
}

static bool
pack_name (writer_t *writer, const char *name, size_t max_length)
{
  uint32_t number;

  if (writer->state == NULL || name == NULL || strlen (name) > max_length
      || !msg_state_intern_name (writer->state, name, &number))
    return pack_string (writer, name, max_length);
  msgpack_pack_uint32 (&writer->packer, number);
  return true;
}

static bool
pack_bytes (writer_t *writer, const msg_bytes_t *bytes, size_t max_length)
{
  if (bytes->length > max_length)
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

static bool pack_fields (writer_t *writer, const msg_layout_t *layout,
                         const uint8_t *base);

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
  if (count > field->max_count)
    return false;
  msgpack_pack_array (&writer->packer, count);
  for (uint32_t i = 0; i < count; i++)
    if (!pack_string (writer, strings[i], field->max))
      return false;
  return true;
}

static bool
pack_struct (writer_t *writer, const msg_layout_t *layout, const uint8_t *base)
{
  msgpack_pack_array (&writer->packer, layout->count);
  return pack_fields (writer, layout, base);
}

static bool
pack_structs (writer_t *writer, const msg_field_t *field,
              const uint8_t *structs, uint32_t count)
{
  if (count > field->max_count)
    return false;
  msgpack_pack_array (&writer->packer, count);
  for (uint32_t i = 0; i < count; i++)
    if (!pack_struct (writer, field->layout,
                      structs + i * field->layout->size))
      return false;
  return true;
}

/* Returns false if the receiver would reject the value.  */
static bool
pack_field (writer_t *writer, const msg_field_t *field, const uint8_t *base)
{
  const void *value = base + field->offset;
  const void *count = base + field->count_offset;

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
    case FIELD_DOUBLE:
      return pack_double (writer, *(const double *)value, true);
    case FIELD_TOKENS:
      return pack_tokens (writer, *(const double *)value, true);
    case FIELD_TOKEN_LIMIT:
      return pack_tokens (writer, *(const double *)value, false);
    case FIELD_BOOL:
      pack_bool (writer, *(const bool *)value);
      return true;
    case FIELD_ENUM:
      return pack_enum (writer, *(const uint32_t *)value, field->max);
    case FIELD_NAME:
      return pack_name (writer, *(const char *const *)value, field->max);
    case FIELD_STRING:
      return pack_string (writer, *(const char *const *)value, field->max);
    case FIELD_BYTES:
      return pack_bytes (writer, value, field->max);
    case FIELD_STRINGS:
      return pack_strings (writer, field, *(const char *const *const *)value,
                           *(const uint32_t *)count);
    case FIELD_STRUCT:
      return pack_struct (writer, field->layout, value);
    case FIELD_STRUCTS:
      return pack_structs (writer, field, *(const uint8_t *const *)value,
                           *(const uint32_t *)count);
    }
  return false;
}

static bool
pack_fields (writer_t *writer, const msg_layout_t *layout, const uint8_t *base)
{
  for (uint32_t i = 0; i < layout->count; i++)
    if (!pack_field (writer, &layout->fields[i], base))
      return false;
  return true;
}

/* Packs kind, stamp and revision.  Returns false if the stamp can't be
   encoded.  */
static bool
pack_prefix (writer_t *writer, const msg_t *message, uint32_t field_count)
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
  g_autoptr (GByteArray) length
      = g_byte_array_sized_new (MAX_LENGTH_PREFIX_BYTES);
  uint32_t fixed_length = GUINT32_TO_BE (frame->len);
  msgpack_packer packer;

  if (is_short)
    {
      msgpack_packer_init (&packer, length, append);
      msgpack_pack_uint32 (&packer, frame->len);
    }
  else
    {
      g_byte_array_append (length, (const guint8 *)&fixed_length,
                           sizeof fixed_length);
    }
  g_byte_array_prepend (frame, length->data, length->len);
}

GByteArray *
msg_encode (const msg_t *message, msg_state_t *state)
{
  const msg_layout_t *layout = msg_get_layout (message->kind);
  uint32_t next_number = state != NULL ? state->next_number : 0;
  writer_t writer = { .state = state };
  GByteArray *frame;

  if (layout == NULL)
    return NULL;
  if (state != NULL)
    writer.incarnation = state->incarnation;
  frame = g_byte_array_sized_new (INITIAL_FRAME_BYTES);
  msgpack_packer_init (&writer.packer, frame, append);
  if (!pack_prefix (&writer, message, layout->count)
      || !pack_fields (&writer, layout, (const uint8_t *)&message->u)
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
    msg_state_reset_names (state, next_number);
  g_byte_array_unref (frame);
  return NULL;
}
