/* Usual deadlines, by majority vote: first tries share one value, those that
   come again each have another.  */

#include "relay/hab.h"

/* A deadline is usual once it has so many votes more than others.  */
#define KNOWN_VOTES 20
/* Votes are not counted above, so that a change of habit is noticed.  */
#define VOTES_MOST 200

static void
vote (hab_t *hab, int64_t deadline_ms)
{
  if (hab->votes == 0)
    hab->usual_ms = deadline_ms;
  if (deadline_ms != hab->usual_ms)
    hab->votes--;
  else if (hab->votes < VOTES_MOST)
    hab->votes++;
}

int64_t
hab_waited (hab_t *hab, int64_t deadline_ms)
{
  vote (hab, deadline_ms);
  if (hab->votes < KNOWN_VOTES || deadline_ms >= hab->usual_ms)
    return 0;
  return hab->usual_ms - deadline_ms;
}
