/* Changes of the platform's lists, from the router that read them.  */

#include "relay/pal-private.h"

#include <msgpack.h>
#include <string.h>

/* A larger one would be many packets, of which none may be lost.  */
#define UPDATE_MOST 32768

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
  if (strlen (events) > UPDATE_MOST)
    return;
  bytes = pal_pack_update (list, from, to, events);
  pal_send_all (pal, bytes->data, bytes->len);
}

void
pal_set_update_callback (pal_t *pal,
                         void (*back) (void *user, unsigned list, int64_t from,
                                       int64_t to, const char *events),
                         void *user)
{
  pal->on_update = back;
  pal->update_user = user;
}

static bool
is_update (const msgpack_object *object)
{
  const msgpack_object *items = object->via.array.ptr;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != 5)
    return false;
  for (unsigned i = 0; i < 4; i++)
    if (items[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
      return false;
  return items[0].via.u64 == UPDATE_FORMAT && items[1].via.u64 < PAL_LIST_COUNT
         && items[2].via.u64 < items[3].via.u64
         && items[3].via.u64 <= INT64_MAX
         && items[4].type == MSGPACK_OBJECT_STR;
}

bool
pal_take_update (pal_t *pal, const void *bytes, size_t length)
{
  msgpack_unpacked unpacked;
  bool good;

  msgpack_unpacked_init (&unpacked);
  good = msgpack_unpack_next (&unpacked, bytes, length, NULL)
             == MSGPACK_UNPACK_SUCCESS
         && is_update (&unpacked.data);
  if (good && pal->on_update != NULL)
    {
      const msgpack_object *items = unpacked.data.via.array.ptr;
      g_autofree char *events
          = g_strndup (items[4].via.str.ptr, items[4].via.str.size);

      pal->on_update (pal->update_user, (unsigned)items[1].via.u64,
                      items[2].via.i64, items[3].via.i64, events);
    }
  msgpack_unpacked_destroy (&unpacked);
  return good;
}
