/* Tests of message trees: what is allocated is bounded by what was received,
   whatever counts and depths the bytes declare.  */

#include "wire/msg-tree.h"

#include <glib.h>
#include <string.h>

#define MAX_NODES 65536u
#define CHUNK_BYTES 256u

/* Parses a copy of BYTES, so that sanitizers detect a read beyond its end.  */
static bool
parse (const void *bytes, size_t length, size_t *allocated)
{
  msgpack_zone *arena = msgpack_zone_new (CHUNK_BYTES);
  g_autofree void *copy = g_memdup2 (bytes, length);
  msg_tree_t tree;
  bool valid = msg_tree_parse (arena, copy, length, MAX_NODES, &tree);

  *allocated = tree.allocated;
  msgpack_zone_free (arena);
  return valid;
}

/* Asserts that BYTES, truncated at each length, is rejected and makes the
   parser allocate no more than a node for each byte.  */
static void
assert_bounded (const GByteArray *bytes)
{
  for (guint length = 0; length <= bytes->len; length++)
    {
      size_t allocated;
      bool valid = parse (bytes->data, length, &allocated);

      g_assert_false (valid);
      g_assert_cmpuint (allocated, <=, length * sizeof (msg_node_t));
    }
}

static void
append_big_endian (GByteArray *bytes, uint32_t value, unsigned width)
{
  for (unsigned shift = width * 8; shift > 0; shift -= 8)
    {
      guint8 byte = (guint8)(value >> (shift - 8));

      g_byte_array_append (bytes, &byte, 1);
    }
}

/* Headers of containers and texts, by the bytes of the count that follows. */
static const struct
{
  const char *name;
  guint8 type;
  unsigned count_bytes;
} headers[] = {
  { "text 8", 0xd9, 1 },   { "text 16", 0xda, 2 },  { "text 32", 0xdb, 4 },
  { "bytes 8", 0xc4, 1 },  { "bytes 16", 0xc5, 2 }, { "bytes 32", 0xc6, 4 },
  { "array 16", 0xdc, 2 }, { "array 32", 0xdd, 4 }, { "map 16", 0xde, 2 },
  { "map 32", 0xdf, 4 },   { "ext 8", 0xc7, 1 },    { "ext 16", 0xc8, 2 },
  { "ext 32", 0xc9, 4 },
};

static const uint32_t counts[]
    = { 200, 1u << 16, 1u << 28, UINT32_MAX - 1, UINT32_MAX };

/* A header declares more than the packet holds.  The allocation of an array of
   2^32 - 1 items ended the process.  */
static void
test_declared_counts (void)
{
  static const guint8 filler[64];

  for (unsigned h = 0; h < G_N_ELEMENTS (headers); h++)
    for (unsigned c = 0; c < G_N_ELEMENTS (counts); c++)
      {
        g_autoptr (GByteArray) bytes = g_byte_array_new ();
        uint32_t most = headers[h].count_bytes == 4
                            ? UINT32_MAX
                            : (1u << headers[h].count_bytes * 8) - 1;

        g_test_message ("%s of %u", headers[h].name, counts[c]);
        g_byte_array_append (bytes, &headers[h].type, 1);
        append_big_endian (bytes, MIN (counts[c], most),
                           headers[h].count_bytes);
        g_byte_array_append (bytes, filler, sizeof filler);
        assert_bounded (bytes);
      }
}

/* Nested arrays of which each declares as many items as bytes follow: their
   sum is the square of the packet's size.  */
static void
test_nested_counts (void)
{
  for (unsigned depth = 1; depth < MSG_TREE_MAX_DEPTH; depth++)
    {
      g_autoptr (GByteArray) bytes = g_byte_array_new ();
      static const guint8 type = 0xdd;

      for (unsigned i = 0; i < depth; i++)
        {
          g_byte_array_append (bytes, &type, 1);
          append_big_endian (bytes, 1000 - 5 * (i + 1), 4);
        }
      g_byte_array_set_size (bytes, 990);
      memset (bytes->data + (size_t)depth * 5, 0, 990 - (size_t)depth * 5);
      assert_bounded (bytes);
    }
}

/* Arrays nested to 10,000 levels, of each header: no recursion, and no more
   than a node a level.  */
static void
test_depth (void)
{
  static const struct
  {
    guint8 bytes[5];
    unsigned length;
  } levels[] = { { { 0x91 }, 1 },
                 { { 0xdc, 0, 1 }, 3 },
                 { { 0xdd, 0, 0, 0, 1 }, 5 } };

  for (unsigned i = 0; i < G_N_ELEMENTS (levels); i++)
    {
      g_autoptr (GByteArray) bytes = g_byte_array_new ();
      size_t allocated;
      bool valid;

      for (unsigned depth = 0; depth < 10000; depth++)
        g_byte_array_append (bytes, levels[i].bytes, levels[i].length);
      g_byte_array_append (bytes, (const guint8 *)"", 1);
      valid = parse (bytes->data, bytes->len, &allocated);
      g_assert_false (valid);
      g_assert_cmpuint (allocated, <=,
                        MSG_TREE_MAX_DEPTH * sizeof (msg_node_t));
    }
}

static void
test_max_nodes (void)
{
  g_autoptr (GByteArray) bytes = g_byte_array_new ();
  static const guint8 type = 0xdd;
  size_t allocated;
  bool valid;

  g_byte_array_append (bytes, &type, 1);
  append_big_endian (bytes, MAX_NODES, 4);
  g_byte_array_set_size (bytes, 5 + MAX_NODES);
  memset (bytes->data + 5, 0, MAX_NODES);
  valid = parse (bytes->data, bytes->len, &allocated);
  g_assert_true (valid);
  g_assert_cmpuint (allocated, ==, MAX_NODES * sizeof (msg_node_t));
  bytes->data[4] = 1;
  g_byte_array_append (bytes, &type, 1);
  bytes->data[bytes->len - 1] = 0;
  valid = parse (bytes->data, bytes->len, &allocated);
  g_assert_false (valid);
  g_assert_cmpuint (allocated, ==, 0);
}

static void
test_values (void)
{
  static const char bytes[] = "\x96\x07\xd0\xfb\xd1\x01\x00\xc3"
                              "\xa2hi\x91\xcb\x3f\xf8\0\0\0\0\0";
  msgpack_zone *arena = msgpack_zone_new (CHUNK_BYTES);
  const msg_node_t *items;
  msg_tree_t tree;

  g_assert_true (
      msg_tree_parse (arena, bytes, sizeof bytes, MAX_NODES, &tree));
  items = tree.root.u.items;
  g_assert_cmpuint (tree.root.length, ==, 6);
  g_assert_cmpuint (items[0].u.number, ==, 7);
  g_assert_cmpint (items[1].type, ==, MSG_NODE_NEGATIVE);
  g_assert_cmpint (items[1].u.negative, ==, -5);
  g_assert_cmpint (items[2].type, ==, MSG_NODE_UINT);
  g_assert_cmpuint (items[2].u.number, ==, 256);
  g_assert_cmpint (items[3].type, ==, MSG_NODE_BOOL);
  g_assert_cmpuint (items[3].u.number, ==, 1);
  g_assert_cmpint (items[4].type, ==, MSG_NODE_STRING);
  g_assert_cmpmem (items[4].u.bytes, items[4].length, "hi", 2);
  g_assert_cmpuint (items[5].length, ==, 1);
  g_assert_cmpfloat (items[5].u.items[0].u.real, ==, 1.5);
  msgpack_zone_free (arena);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/msg-tree/values", test_values);
  g_test_add_func ("/msg-tree/declared-counts", test_declared_counts);
  g_test_add_func ("/msg-tree/nested-counts", test_nested_counts);
  g_test_add_func ("/msg-tree/depth", test_depth);
  g_test_add_func ("/msg-tree/max-nodes", test_max_nodes);
  return g_test_run ();
}
