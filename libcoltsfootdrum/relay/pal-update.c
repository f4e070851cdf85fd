/* Peers: changes of the platform's lists, from the router that read them.  */

#include "relay/pal-private.h"

#include "wire/msg-tree.h"
#include <msgpack.h>
#include <string.h>

/* A larger update would take many IP fragments, all of which must arrive.  */
#define MAX_UPDATE_BYTES 32768

GByteArray *
pal_pack_update (unsigned list, int64_t from, int64_t to, const char *events)
{
  size_t length = strlen (events);
  GByteArray *bytes = g_byte_array_new ();
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 5);
  msgpack_pack_uint32 (&packer, UPDATE_FORMAT);
  msgpack_pack_uint32 (&packer, list);
  msgpack_pack_int64 (&packer, from);
  msgpack_pack_int64 (&packer, to);
  msgpack_pack_str (&packer, length);
  msgpack_pack_str_body (&packer, events, length);
  g_byte_array_append (bytes, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

void
pal_broadcast_update (pal_t *pal, unsigned list, int64_t from, int64_t to,
                      const char *events)
{
  g_autoptr (GByteArray) bytes = NULL;

  g_return_if_fail (list < PAL_LIST_COUNT);
  if (strlen (events) > MAX_UPDATE_BYTES)
    return;
  bytes = pal_pack_update (list, from, to, events);
  pal_send_all (pal, bytes->data, bytes->len);
}

void
pal_set_update_callback (pal_t *pal,
                         void (*callback) (void *user, unsigned list,
                                           int64_t from, int64_t to,
                                           const char *events),
                         void *user)
{
  pal->on_update = callback;
  pal->update_user = user;
}

static bool
is_update (const msg_node_t *node)
{
  const msg_node_t *items = node->u.items;

  if (node->type != MSG_NODE_ARRAY || node->length != 5)
    return false;
  for (unsigned i = 0; i < 4; i++)
    if (items[i].type != MSG_NODE_UINT)
      return false;
  return items[0].u.number == UPDATE_FORMAT
         && items[1].u.number < PAL_LIST_COUNT
         && items[2].u.number < items[3].u.number
         && items[3].u.number <= INT64_MAX && items[4].type == MSG_NODE_STRING
         && items[4].length <= MAX_UPDATE_BYTES;
}

bool
pal_receive_update (pal_t *pal, const void *bytes, size_t length)
{
  g_autoptr (msgpack_zone) arena = pal_arena_new ();
  g_autofree char *events = NULL;
  const msg_node_t *items;
  msg_tree_t tree;

  if (!msg_tree_parse (arena, bytes, length, MAX_NODES, &tree)
      || !is_update (&tree.root))
    return false;
  if (pal->on_update == NULL)
    return true;
  items = tree.root.u.items;
  events = g_strndup (items[4].u.bytes, items[4].length);
  pal->on_update (pal->update_user, (unsigned)items[1].u.number,
                  (int64_t)items[2].u.number, (int64_t)items[3].u.number,
                  events);
  return true;
}
