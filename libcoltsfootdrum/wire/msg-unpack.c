/* Decoding of frames: from the nodes of a message tree to structs.  */

#include "wire/msg-fields.h"

#include "wire/msg-tree.h"
#include <math.h>
#include <string.h>

/* Limit of all nodes of one frame: the most structs, with spare fields.  */
#define NODES_MAX (MSG_ENTRIES_MAX * 16u)
#define ARENA_CHUNK_BYTES 2048u

typedef struct
{
  msgpack_zone *arena;
  msg_state_t *state; /* NULL for a whole frame */
} decoder_t;

static bool
set_field_error (const msg_layout_t *layout, const msg_field_t *field,
                 GError **error)
{
  g_set_error (error, CFD_ERROR, CFD_ERROR_FRAME,
               "Frame %s: field %s has a wrong type, size or value; check "
               "that both sides run compatible versions",
               layout->name, field->name);
  return false;
}

static bool
decode_uint (const msg_node_t *node, uint64_t min, uint64_t limit,
             uint64_t *value)
{
  *value = node->u.number;
  return node->type == MSG_NODE_UINT && *value >= min && *value <= limit;
}

static bool
decode_u32 (const msg_node_t *node, uint32_t min, uint32_t limit,
            uint32_t *dest)
{
  uint64_t value;

  if (!decode_uint (node, min, limit, &value))
    return false;
  *dest = (uint32_t)value;
  return true;
}

static bool
decode_incarnation (const decoder_t *decoder, const msg_node_t *node,
                    uint64_t *dest)
{
  if (!decode_uint (node, 0, UINT64_MAX, dest))
    return false;
  if (decoder->state != NULL)
    decoder->state->incarnation = *dest ^= decoder->state->incarnation;
  return true;
}

static bool
decode_double (const msg_node_t *node, bool must_be_finite, double *dest)
{
  if (node->type == MSG_NODE_UINT)
    *dest = (double)node->u.number;
  else if (node->type == MSG_NODE_DOUBLE)
    *dest = node->u.real;
  else
    return false;
  return !isnan (*dest) && (!must_be_finite || isfinite (*dest));
}

static bool
decode_bool (const msg_node_t *node, bool *dest)
{
  *dest = node->u.number != 0;
  return node->type == MSG_NODE_BOOL;
}

static bool
decode_string (const decoder_t *decoder, const msg_node_t *node, size_t limit,
               const char **dest)
{
  char *copy;

  if (node->type != MSG_NODE_STRING || node->length > limit
      || memchr (node->u.bytes, 0, node->length) != NULL)
    return false;
  copy = msgpack_zone_malloc_no_align (decoder->arena, node->length + 1);
  if (copy == NULL)
    return false;
  memcpy (copy, node->u.bytes, node->length);
  copy[node->length] = 0;
  *dest = copy;
  return true;
}

static bool
copy_name (const decoder_t *decoder, const char *name, const char **dest)
{
  size_t size = strlen (name) + 1;
  char *copy = msgpack_zone_malloc_no_align (decoder->arena, size);

  if (copy == NULL)
    return false;
  *dest = memcpy (copy, name, size);
  return true;
}

/* The name is copied, because a later field of the frame may assign its number
   to another name.  */
static bool
decode_name (const decoder_t *decoder, const msg_node_t *node, size_t limit,
             const char **dest)
{
  const char *known;

  if (node->type == MSG_NODE_UINT && decoder->state != NULL)
    {
      known = msg_state_get_name (decoder->state, node->u.number);
      return known != NULL && copy_name (decoder, known, dest);
    }
  if (!decode_string (decoder, node, limit, dest))
    return false;
  if (decoder->state != NULL)
    msg_state_add_name (decoder->state, *dest);
  return true;
}

static bool
decode_bytes (const msg_node_t *node, size_t limit, msg_bytes_t *dest)
{
  dest->data = (const uint8_t *)node->u.bytes;
  dest->length = node->length;
  return node->type == MSG_NODE_BYTES && node->length <= limit;
}

static bool
decode_strings (const decoder_t *decoder, const msg_node_t *node,
                const msg_field_t *field, const char ***dest, uint32_t *count)
{
  if (node->type != MSG_NODE_ARRAY || node->length > field->max_count)
    return false;
  *dest = msgpack_zone_malloc (decoder->arena,
                               (node->length + 1) * sizeof **dest);
  if (*dest == NULL)
    return false;
  for (uint32_t i = 0; i < node->length; i++)
    if (!decode_string (decoder, &node->u.items[i], field->max, &(*dest)[i]))
      return false;
  (*dest)[node->length] = NULL;
  *count = node->length;
  return true;
}

static bool decode_fields (const decoder_t *decoder,
                           const msg_layout_t *layout, const msg_node_t *nodes,
                           uint32_t count, uint8_t *dest, GError **error);

static bool
decode_struct (const decoder_t *decoder, const msg_node_t *node,
               const msg_layout_t *layout, uint8_t *dest, GError **error)
{
  return node->type == MSG_NODE_ARRAY
         && decode_fields (decoder, layout, node->u.items, node->length, dest,
                           error);
}

static bool
decode_structs (const decoder_t *decoder, const msg_node_t *node,
                const msg_field_t *field, uint8_t **dest, uint32_t *count,
                GError **error)
{
  size_t size = field->layout->size;

  if (node->type != MSG_NODE_ARRAY || node->length > field->max_count)
    return false;
  *dest = msgpack_zone_malloc (decoder->arena, node->length * size + 1);
  if (*dest == NULL)
    return false;
  memset (*dest, 0, node->length * size);
  for (uint32_t i = 0; i < node->length; i++)
    if (!decode_struct (decoder, &node->u.items[i], field->layout,
                        *dest + i * size, error))
      return false;
  *count = node->length;
  return true;
}

static bool
decode_field (const decoder_t *decoder, const msg_field_t *field,
              const msg_node_t *node, uint8_t *base, GError **error)
{
  void *dest = base + field->offset;
  void *count = base + field->count_offset;

  switch (field->type)
    {
    case FIELD_U32:
      return decode_u32 (node, 0, UINT32_MAX, dest);
    case FIELD_U64:
      return decode_uint (node, 0, UINT64_MAX, dest);
    case FIELD_INCARNATION:
      return decode_incarnation (decoder, node, dest);
    case FIELD_DOUBLE:
    case FIELD_TOKENS:
      return decode_double (node, true, dest);
    case FIELD_TOKEN_LIMIT:
      return decode_double (node, false, dest);
    case FIELD_BOOL:
      return decode_bool (node, dest);
    case FIELD_ENUM:
      return decode_u32 (node, 1, field->max, dest);
    case FIELD_NAME:
      return decode_name (decoder, node, field->max, dest);
    case FIELD_STRING:
      return decode_string (decoder, node, field->max, dest);
    case FIELD_BYTES:
      return decode_bytes (node, field->max, dest);
    case FIELD_STRINGS:
      return decode_strings (decoder, node, field, dest, count);
    case FIELD_STRUCT:
      return decode_struct (decoder, node, field->layout, dest, error);
    case FIELD_STRUCTS:
      return decode_structs (decoder, node, field, dest, count, error);
    }
  return false;
}

/* Decodes the fields of LAYOUT from COUNT nodes into DEST, which is zeroed. */
static bool
decode_fields (const decoder_t *decoder, const msg_layout_t *layout,
               const msg_node_t *nodes, uint32_t count, uint8_t *dest,
               GError **error)
{
  for (uint32_t i = 0; i < layout->count; i++)
    {
      const msg_field_t *field = &layout->fields[i];

      if (i >= count && field->is_optional)
        continue;
      if (i < count && decode_field (decoder, field, &nodes[i], dest, error))
        continue;
      return error != NULL && *error != NULL
                 ? false
                 : set_field_error (layout, field, error);
    }
  return true;
}

/* Restores the stamp and revision of a short frame, which are differences from
   the last frame.  */
static void
apply_prefix (msg_state_t *state, msg_t *message)
{
  if (state == NULL)
    return;
  message->stamp = msg_stamp_decode (state->stamp, message->stamp);
  message->revision += state->revision;
  state->stamp = message->stamp;
  state->revision = message->revision;
}

static bool
decode_message (const decoder_t *decoder, const msg_node_t *frame,
                msg_t *message, GError **error)
{
  const msg_node_t *nodes = frame->u.items;
  const msg_layout_t *layout = NULL;
  uint32_t kind = 0;

  if (frame->type == MSG_NODE_ARRAY && frame->length >= MSG_PREFIX_FIELDS
      && decode_u32 (&nodes[0], 1, MSG_KIND_COUNT - 1, &kind))
    layout = msg_get_layout (kind);
  if (layout == NULL
      || !decode_uint (&nodes[1], 0, UINT64_MAX, &message->stamp)
      || !decode_uint (&nodes[2], 0, UINT64_MAX, &message->revision))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_FRAME,
                   "Frame of kind %u is unknown or too short; check that both "
                   "sides run compatible versions",
                   kind);
      return false;
    }
  message->kind = kind;
  apply_prefix (decoder->state, message);
  return decode_fields (decoder, layout, nodes + MSG_PREFIX_FIELDS,
                        frame->length - MSG_PREFIX_FIELDS,
                        (uint8_t *)&message->u, error);
}

/* First bytes of msgpack's unsigned integers.  */
#define UINT_FIX_MAX 0x7f
#define UINT_8 0xcc
#define UINT_32 0xce

msg_length_t
msg_parse_length (const uint8_t *bytes, size_t available, bool is_short,
                  uint32_t *length, size_t *prefix)
{
  size_t start = 0;

  *prefix = sizeof *length;
  if (is_short && available == 0)
    return MSG_LENGTH_INCOMPLETE;
  if (is_short && bytes[0] <= UINT_FIX_MAX)
    {
      *prefix = 1;
    }
  else if (is_short)
    {
      if (bytes[0] < UINT_8 || bytes[0] > UINT_32)
        return MSG_LENGTH_INVALID;
      start = 1;
      *prefix = start + (1u << (bytes[0] - UINT_8));
    }
  if (available < *prefix)
    return MSG_LENGTH_INCOMPLETE;
  *length = 0;
  for (size_t i = start; i < *prefix; i++)
    *length = *length << 8 | bytes[i];
  return MSG_LENGTH_COMPLETE;
}

msg_t *
msg_decode (const uint8_t *payload, size_t length, msg_state_t *state,
            GError **error)
{
  msgpack_zone *arena;
  msg_t *message;
  msg_tree_t tree;

  arena = msgpack_zone_new (ARENA_CHUNK_BYTES);
  g_assert (arena != NULL);
  message = msgpack_zone_malloc (arena, sizeof *message);
  g_assert (message != NULL);
  memset (message, 0, sizeof *message);
  message->arena = arena;
  if (length > MSG_FRAME_MAX
      || !msg_tree_parse (arena, payload, length, NODES_MAX, &tree))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_FRAME,
                   "Frame of %zu bytes is malformed or too large; check that "
                   "the sender is a process of this fleet",
                   length);
      goto fail;
    }
  if (!decode_message (&(decoder_t){ arena, state }, &tree.root, message,
                       error))
    goto fail;
  return message;

fail:
  msgpack_zone_free (arena);
  return NULL;
}

void
msg_free (msg_t *message)
{
  if (message != NULL && message->arena != NULL)
    msgpack_zone_free (message->arena);
}
