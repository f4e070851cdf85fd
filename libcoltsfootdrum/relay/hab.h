/* The deadline with which callers of a route usually begin, and from it how
   long one that comes with less has waited already.

   Load pattern: callers who were refused all come back.  An answer's time
   counts from their first try, so that most of them are late; where room is
   short it does more good to one that just came.  */

#ifndef RELAY_HAB_H
#define RELAY_HAB_H

#include <stdint.h>

typedef struct
{
  int64_t usual_ms; /* the deadline that most requests have */
  int votes;        /* for it, less those against */
} hab_t;

/* Takes in the deadline of one more request.  Returns the milliseconds that
   its caller has waited already; 0 while no usual deadline is known.  */
int64_t hab_waited (hab_t *hab, int64_t deadline_ms);

#endif
