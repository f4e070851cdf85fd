/* Decoding of frames.  msgpack-c's own tree reader allocates as many objects
   as an array's header claims, before it has seen them: five hostile bytes
   ask for 64 GB.  Its reader template is used instead with callbacks that
   build nodes only within a budget, and refuse types that no field has.  */

#include "wire/msg-fields.h"

#include <math.h>
#include <msgpack/unpack.h>
#include <msgpack/unpack_define.h>
#include <msgpack/zone.h>
#include <string.h>

/* All nodes of one frame: the most rows with room for new fields.  */
#define NODES_MAX (MSG_ENTRIES_MAX * 16u)
#define ARENA_CHUNK 2048u

typedef enum
{
  NODE_UINT,
  NODE_REAL,
  NODE_BOOL,
  NODE_STRING,
  NODE_BYTES,
  NODE_ARRAY
} node_type_t;

typedef struct node
{
  node_type_t type;
  uint32_t length; /* of a string, bytes or an array */
  union
  {
    uint64_t number;
    double real;
    const char *bytes;
    struct node *items;
  } u;
} node_t;

typedef struct
{
  msgpack_zone *arena;
  uint32_t nodes_left;
} reader_t;

static int
take_uint (reader_t *reader, uint64_t value, node_t *node)
{
  *node = (node_t){ .type = NODE_UINT, .u.number = value };
  return 0;
}

static int
take_real (reader_t *reader, double value, node_t *node)
{
  *node = (node_t){ .type = NODE_REAL, .u.real = value };
  return 0;
}

static int
take_bool (reader_t *reader, bool value, node_t *node)
{
  *node = (node_t){ .type = NODE_BOOL, .u.number = value };
  return 0;
}

static int
take_bytes (node_type_t type, const char *bytes, uint32_t length, node_t *node)
{
  /* The template gives no pointer with an empty string.  */
  *node = (node_t){ .type = type,
                    .length = length,
                    .u.bytes = length > 0 ? bytes : "" };
  return 0;
}

static int
take_array (reader_t *reader, uint32_t count, node_t *node)
{
  if (count > reader->nodes_left)
    return -1;
  reader->nodes_left -= count;
  *node = (node_t){ .type = NODE_ARRAY };
  if (count == 0)
    return 0;
  node->u.items = msgpack_zone_malloc (reader->arena, count * sizeof *node);
  return node->u.items != NULL ? 0 : -1;
}

static int
take_item (reader_t *reader, node_t *array, node_t item)
{
  array->u.items[array->length++] = item;
  return 0;
}

static int
refuse (void)
{
  return -1;
}

#define msgpack_unpack_struct(name) struct reader##name
#define msgpack_unpack_func(type, name) static type reader##name
#define msgpack_unpack_callback(name) reader_callback##name
#define msgpack_unpack_object node_t
#define msgpack_unpack_user reader_t
#define reader_callback_root(r) ((node_t){ 0 })
#define reader_callback_uint8 take_uint
#define reader_callback_uint16 take_uint
#define reader_callback_uint32 take_uint
#define reader_callback_uint64 take_uint
#define reader_callback_int8(r, v, n) refuse ()
#define reader_callback_int16(r, v, n) refuse ()
#define reader_callback_int32(r, v, n) refuse ()
#define reader_callback_int64(r, v, n) refuse ()
#define reader_callback_float take_real
#define reader_callback_double take_real
#define reader_callback_nil(r, n) refuse ()
#define reader_callback_true(r, n) take_bool (r, true, n)
#define reader_callback_false(r, n) take_bool (r, false, n)
#define reader_callback_array take_array
#define reader_callback_array_item take_item
#define reader_callback_map(r, c, n) refuse ()
#define reader_callback_map_item(r, m, k, v) refuse ()
#define reader_callback_str(r, base, p, l, n) take_bytes (NODE_STRING, p, l, n)
#define reader_callback_bin(r, base, p, l, n) take_bytes (NODE_BYTES, p, l, n)
#define reader_callback_ext(r, base, p, l, n) refuse ()
#include <msgpack/unpack_template.h>

/* ---- from nodes to structs ---- */

typedef struct
{
  msgpack_zone *arena;
  msg_state_t *state; /* NULL for a whole frame */
} target_t;

static bool
bad_field (const msg_shape_t *shape, const msg_field_t *field, GError **error)
{
  g_set_error (error, CFD_ERROR, CFD_ERROR_FRAME,
               "Frame %s: field %s has a wrong type, size or value; check "
               "that both sides run compatible versions",
               shape->name, field->name);
  return false;
}

static bool
store_uint (const node_t *node, uint64_t least, uint64_t most, uint64_t *value)
{
  *value = node->u.number;
  return node->type == NODE_UINT && *value >= least && *value <= most;
}

static bool
store_u32 (const node_t *node, uint32_t least, uint32_t most, uint32_t *to)
{
  uint64_t value;

  if (!store_uint (node, least, most, &value))
    return false;
  *to = (uint32_t)value;
  return true;
}

static bool
store_incarnation (const target_t *target, const node_t *node, uint64_t *to)
{
  if (!store_uint (node, 0, UINT64_MAX, to))
    return false;
  if (target->state != NULL)
    target->state->incarnation = *to ^= target->state->incarnation;
  return true;
}

static bool
store_real (const node_t *node, bool finite, double *to)
{
  if (node->type == NODE_UINT)
    *to = (double)node->u.number;
  else if (node->type == NODE_REAL)
    *to = node->u.real;
  else
    return false;
  return !isnan (*to) && (!finite || isfinite (*to));
}

static bool
store_bool (const node_t *node, bool *to)
{
  *to = node->u.number != 0;
  return node->type == NODE_BOOL;
}

static bool
store_string (const target_t *target, const node_t *node, size_t most,
              const char **to)
{
  char *copy;

  if (node->type != NODE_STRING || node->length > most
      || memchr (node->u.bytes, 0, node->length) != NULL)
    return false;
  copy = msgpack_zone_malloc_no_align (target->arena, node->length + 1);
  if (copy == NULL)
    return false;
  memcpy (copy, node->u.bytes, node->length);
  copy[node->length] = 0;
  *to = copy;
  return true;
}

static bool
copy_name (const target_t *target, const char *name, const char **to)
{
  size_t size = strlen (name) + 1;
  char *copy = msgpack_zone_malloc_no_align (target->arena, size);

  if (copy == NULL)
    return false;
  *to = memcpy (copy, name, size);
  return true;
}

/* Copied, for a later field of the frame may give its number to another.  */
static bool
store_name (const target_t *target, const node_t *node, size_t most,
            const char **to)
{
  const char *known;

  if (node->type == NODE_UINT && target->state != NULL)
    {
      known = msg_state_get_name (target->state, node->u.number);
      return known != NULL && copy_name (target, known, to);
    }
  if (!store_string (target, node, most, to))
    return false;
  if (target->state != NULL)
    msg_state_add_name (target->state, *to);
  return true;
}

static bool
store_bytes (const node_t *node, size_t most, msg_bytes_t *to)
{
  to->data = (const uint8_t *)node->u.bytes;
  to->length = node->length;
  return node->type == NODE_BYTES && node->length <= most;
}

static bool
store_strings (const target_t *target, const node_t *node,
               const msg_field_t *field, const char ***to, uint32_t *count)
{
  if (node->type != NODE_ARRAY || node->length > field->count_max)
    return false;
  *to = msgpack_zone_malloc (target->arena, (node->length + 1) * sizeof **to);
  if (*to == NULL)
    return false;
  for (uint32_t i = 0; i < node->length; i++)
    if (!store_string (target, &node->u.items[i], field->max, &(*to)[i]))
      return false;
  (*to)[node->length] = NULL;
  *count = node->length;
  return true;
}

static bool store_fields (const target_t *target, const msg_shape_t *shape,
                          const node_t *nodes, uint32_t count, uint8_t *to,
                          GError **error);

static bool
store_row (const target_t *target, const node_t *node,
           const msg_shape_t *shape, uint8_t *to, GError **error)
{
  return node->type == NODE_ARRAY
         && store_fields (target, shape, node->u.items, node->length, to,
                          error);
}

static bool
store_rows (const target_t *target, const node_t *node,
            const msg_field_t *field, uint8_t **to, uint32_t *count,
            GError **error)
{
  size_t size = field->shape->size;

  if (node->type != NODE_ARRAY || node->length > field->count_max)
    return false;
  *to = msgpack_zone_malloc (target->arena, node->length * size + 1);
  if (*to == NULL)
    return false;
  memset (*to, 0, node->length * size);
  for (uint32_t i = 0; i < node->length; i++)
    if (!store_row (target, &node->u.items[i], field->shape, *to + i * size,
                    error))
      return false;
  *count = node->length;
  return true;
}

static bool
store_field (const target_t *target, const msg_field_t *field,
             const node_t *node, uint8_t *base, GError **error)
{
  void *to = base + field->offset;
  void *count = base + field->count_offset;

  switch (field->type)
    {
    case FIELD_U32:
      return store_u32 (node, 0, UINT32_MAX, to);
    case FIELD_U64:
      return store_uint (node, 0, UINT64_MAX, to);
    case FIELD_INCARNATION:
      return store_incarnation (target, node, to);
    case FIELD_REAL:
    case FIELD_TOKENS:
      return store_real (node, true, to);
    case FIELD_LIMIT:
      return store_real (node, false, to);
    case FIELD_BOOL:
      return store_bool (node, to);
    case FIELD_CHOICE:
      return store_u32 (node, 1, field->max, to);
    case FIELD_NAME:
      return store_name (target, node, field->max, to);
    case FIELD_STRING:
      return store_string (target, node, field->max, to);
    case FIELD_BYTES:
      return store_bytes (node, field->max, to);
    case FIELD_STRINGS:
      return store_strings (target, node, field, to, count);
    case FIELD_ROW:
      return store_row (target, node, field->shape, to, error);
    case FIELD_ROWS:
      return store_rows (target, node, field, to, count, error);
    }
  return false;
}

/* From the COUNT nodes that there are; the memory is zeroed.  */
static bool
store_fields (const target_t *target, const msg_shape_t *shape,
              const node_t *nodes, uint32_t count, uint8_t *to, GError **error)
{
  for (uint32_t i = 0; i < shape->count; i++)
    {
      const msg_field_t *field = &shape->fields[i];

      if (i >= count && field->is_late)
        continue;
      if (i < count && store_field (target, field, &nodes[i], to, error))
        continue;
      return error != NULL && *error != NULL ? false
                                             : bad_field (shape, field, error);
    }
  return true;
}

/* The stamp and revision of a short frame are what was added to the last.  */
static void
take_start (msg_state_t *state, msg_t *message)
{
  if (state == NULL)
    return;
  message->stamp = msg_stamp_decode (state->stamp, message->stamp);
  message->revision += state->revision;
  state->stamp = message->stamp;
  state->revision = message->revision;
}

static bool
store_message (const target_t *target, const node_t *frame, msg_t *message,
               GError **error)
{
  const node_t *nodes = frame->u.items;
  const msg_shape_t *shape = NULL;
  uint32_t kind = 0;

  if (frame->type == NODE_ARRAY && frame->length >= MSG_PREFIX_FIELDS
      && store_u32 (&nodes[0], 1, MSG_KIND_COUNT - 1, &kind))
    shape = msg_shape (kind);
  if (shape == NULL || !store_uint (&nodes[1], 0, UINT64_MAX, &message->stamp)
      || !store_uint (&nodes[2], 0, UINT64_MAX, &message->revision))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_FRAME,
                   "Frame of kind %u is unknown or too short; check that both "
                   "sides run compatible versions",
                   kind);
      return false;
    }
  message->kind = kind;
  take_start (target->state, message);
  return store_fields (target, shape, nodes + MSG_PREFIX_FIELDS,
                       frame->length - MSG_PREFIX_FIELDS,
                       (uint8_t *)&message->u, error);
}

static bool
read_nodes (msgpack_zone *arena, const uint8_t *payload, size_t length,
            node_t *root)
{
  struct reader_context context;
  size_t used = 0;
  int status;

  reader_init (&context);
  context.user = (reader_t){ .arena = arena, .nodes_left = NODES_MAX };
  status = reader_execute (&context, (const char *)payload, length, &used);
  *root = reader_data (&context);
  return status > 0 && used == length;
}

/* Leading bytes of msgpack's unsigned integers.  */
#define UINT_FIX_MAX 0x7f
#define UINT_8 0xcc
#define UINT_32 0xce

msg_length_t
msg_parse_length (const uint8_t *bytes, size_t have, bool is_short,
                  uint32_t *length, size_t *prefix)
{
  size_t start = 0;

  *prefix = sizeof *length;
  if (is_short && have == 0)
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
  if (have < *prefix)
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
  node_t root;

  arena = msgpack_zone_new (ARENA_CHUNK);
  g_assert (arena != NULL);
  message = msgpack_zone_malloc (arena, sizeof *message);
  g_assert (message != NULL);
  memset (message, 0, sizeof *message);
  message->arena = arena;
  if (length > MSG_FRAME_MAX || !read_nodes (arena, payload, length, &root))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_FRAME,
                   "Frame of %zu bytes is malformed or too large; check that "
                   "the sender is a process of this fleet",
                   length);
      goto fail;
    }
  if (!store_message (&(target_t){ arena, state }, &root, message, error))
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
