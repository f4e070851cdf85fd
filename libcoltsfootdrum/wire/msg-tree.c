/* Message trees: the callbacks of msgpack-c's parser template.  */

#include "wire/msg-tree.h"

#include <glib.h>

#define MSGPACK_EMBED_STACK_SIZE MSG_TREE_MAX_DEPTH
#include <msgpack/unpack.h>
#include <msgpack/unpack_define.h>

typedef struct
{
  msgpack_zone *arena;
  uint32_t nodes_left;
  size_t allocated;
} reader_t;

static int
build_uint (uint64_t value, msg_node_t *node)
{
  *node = (msg_node_t){ .type = MSG_NODE_UINT, .u.number = value };
  return 0;
}

static int
build_int (int64_t value, msg_node_t *node)
{
  if (value >= 0)
    return build_uint ((uint64_t)value, node);
  *node = (msg_node_t){ .type = MSG_NODE_NEGATIVE, .u.negative = value };
  return 0;
}

static int
build_double (double value, msg_node_t *node)
{
  *node = (msg_node_t){ .type = MSG_NODE_DOUBLE, .u.real = value };
  return 0;
}

static int
build_bool (bool value, msg_node_t *node)
{
  *node = (msg_node_t){ .type = MSG_NODE_BOOL, .u.number = value };
  return 0;
}

static int
build_bytes (msg_node_type_t type, const char *bytes, uint32_t length,
             msg_node_t *node)
{
  /* The template passes no pointer for an empty string.  */
  *node = (msg_node_t){ .type = type,
                        .length = length,
                        .u.bytes = length > 0 ? bytes : "" };
  return 0;
}

static int
build_array (reader_t *reader, uint32_t count, msg_node_t *node)
{
  size_t size = count * sizeof *node;

  if (count > reader->nodes_left)
    return -1;
  reader->nodes_left -= count;
  *node = (msg_node_t){ .type = MSG_NODE_ARRAY };
  if (count == 0)
    return 0;
  reader->allocated += size;
  node->u.items = msgpack_zone_malloc (reader->arena, size);
  return node->u.items != NULL ? 0 : -1;
}

static int
append_item (msg_node_t *array, msg_node_t item)
{
  array->u.items[array->length++] = item;
  return 0;
}

static int
reject (void)
{
  return -1;
}

#define msgpack_unpack_struct(name) struct reader##name
#define msgpack_unpack_func(type, name) static type reader##name
#define msgpack_unpack_callback(name) reader_callback##name
#define msgpack_unpack_object msg_node_t
#define msgpack_unpack_user reader_t
#define reader_callback_root(r) ((msg_node_t){ 0 })
#define reader_callback_uint8(r, v, n) build_uint (v, n)
#define reader_callback_uint16(r, v, n) build_uint (v, n)
#define reader_callback_uint32(r, v, n) build_uint (v, n)
#define reader_callback_uint64(r, v, n) build_uint (v, n)
#define reader_callback_int8(r, v, n) build_int (v, n)
#define reader_callback_int16(r, v, n) build_int (v, n)
#define reader_callback_int32(r, v, n) build_int (v, n)
#define reader_callback_int64(r, v, n) build_int (v, n)
#define reader_callback_float(r, v, n) build_double (v, n)
#define reader_callback_double(r, v, n) build_double (v, n)
#define reader_callback_nil(r, n) reject ()
#define reader_callback_true(r, n) build_bool (true, n)
#define reader_callback_false(r, n) build_bool (false, n)
#define reader_callback_array(r, c, n) build_array (r, c, n)
#define reader_callback_array_item(r, a, i) append_item (a, i)
#define reader_callback_map(r, c, n) reject ()
#define reader_callback_map_item(r, m, k, v) reject ()
#define reader_callback_str(r, base, p, l, n)                                 \
  build_bytes (MSG_NODE_STRING, p, l, n)
#define reader_callback_bin(r, base, p, l, n)                                 \
  build_bytes (MSG_NODE_BYTES, p, l, n)
#define reader_callback_ext(r, base, p, l, n) reject ()
#include <msgpack/unpack_template.h>

bool
msg_tree_parse (msgpack_zone *arena, const void *bytes, size_t length,
                uint32_t max_nodes, msg_tree_t *tree)
{
  struct reader_context context;
  size_t used = 0;
  int status;

  reader_init (&context);
  /* Each node takes at least one byte.  */
  context.user
      = (reader_t){ .arena = arena,
                    .nodes_left = (uint32_t)MIN (length, (size_t)max_nodes) };
  status = reader_execute (&context, bytes, length, &used);
  tree->root = reader_data (&context);
  tree->allocated = context.user.allocated;
  return status > 0 && used == length;
}
