#include "dispatch/order.h"

order_t
order_create (GRand *random)
{
  guint32 start = g_rand_int (random);

  return (order_t){ .start = start, .step_seed = g_rand_int (random) };
}

static unsigned
greatest_common_divisor (unsigned a, unsigned b)
{
  return b == 0 ? a : greatest_common_divisor (b, a % b);
}

/* A step that is coprime to COUNT visits each index once.  */
void
order_set_count (order_t *order, unsigned count)
{
  order->count = count;
  if (count == 0)
    return;
  order->step = 1 + order->step_seed % count;
  while (greatest_common_divisor (order->step, count) != 1)
    order->step++;
}

unsigned
order_index_at (const order_t *order, unsigned rank)
{
  return (unsigned)((order->start + (guint64)rank * order->step)
                    % order->count);
}
