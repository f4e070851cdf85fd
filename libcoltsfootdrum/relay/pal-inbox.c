/* Peers: datagrams that were read and wait to be decoded.

   Load pattern: a router that got too little processor time finds hundreds of
   datagrams.  Decoding all of them would make its callers wait, and most are
   overtaken by newer ones.  Then the newest are decoded first, and the rest is
   dropped when the time for them is over.  */

#include "relay/pal-private.h"

/* Up to this number datagrams are decoded in the order of their arrival, which
   loses nothing.  */
#define MAX_IN_ORDER 64
/* First byte of an update, an array of five items.  */
#define UPDATE_FIRST_BYTE 0x95

void
pal_inbox_init (pal_inbox_t *inbox)
{
  inbox->bytes = g_byte_array_new ();
  inbox->items = g_array_new (FALSE, FALSE, sizeof (pal_inbox_item_t));
}

void
pal_inbox_clear (pal_inbox_t *inbox)
{
  g_byte_array_unref (inbox->bytes);
  g_array_unref (inbox->items);
}

void
pal_inbox_add (pal_inbox_t *inbox, const void *bytes, size_t length)
{
  pal_inbox_item_t item
      = { .offset = inbox->bytes->len, .length = (guint)length };

  g_byte_array_append (inbox->bytes, bytes, (guint)length);
  item.is_update = length > 0 && *(const guint8 *)bytes == UPDATE_FIRST_BYTE;
  g_array_append_val (inbox->items, item);
}

void
pal_inbox_empty (pal_inbox_t *inbox)
{
  g_byte_array_set_size (inbox->bytes, 0);
  g_array_set_size (inbox->items, 0);
}

static void
add_matching (const pal_inbox_t *inbox, GArray *order, bool updates)
{
  for (guint i = 0; i < inbox->items->len; i++)
    if (g_array_index (inbox->items, pal_inbox_item_t, i).is_update == updates)
      g_array_append_val (order, i);
}

static void
reverse (GArray *order, guint begin)
{
  for (guint end = order->len; begin + 1 < end; begin++)
    {
      guint first = g_array_index (order, guint, begin);

      end--;
      g_array_index (order, guint, begin) = g_array_index (order, guint, end);
      g_array_index (order, guint, end) = first;
    }
}

GArray *
pal_inbox_order (const pal_inbox_t *inbox)
{
  GArray *order = g_array_new (FALSE, FALSE, sizeof (guint));
  guint updates;

  add_matching (inbox, order, true);
  updates = order->len;
  add_matching (inbox, order, false);
  if (inbox->items->len > MAX_IN_ORDER)
    reverse (order, updates);
  return order;
}
