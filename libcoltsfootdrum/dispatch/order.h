/* An order of COUNT places that visits each once, step_seed at random: by it
   an entry spreads over agents.  Pure.  */

#ifndef DISPATCH_ORDER_H
#define DISPATCH_ORDER_H

#include <glib.h>

typedef struct
{
  guint32 start;
  guint32 step_seed; /* the step comes from it */
  unsigned count;
  unsigned step;
} order_t;

/* Has no place yet.  */
order_t order_create (GRand *random);
/* From now on ORDER is one of COUNT places.  */
void order_set_count (order_t *order, unsigned count);
/* The place at RANK, below the count.  */
unsigned order_index_at (const order_t *order, unsigned rank);

#endif
