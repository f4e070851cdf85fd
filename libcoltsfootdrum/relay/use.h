/* What client accounts asked for and got over the last few seconds, here and
   over all routers, and the level up to which all may be served: what fair
   shares are judged by.

   The unit is a token: each prompt token counts once, each generated one
   twice.  */

#ifndef RELAY_USE_H
#define RELAY_USE_H

#include "base/clock.h"
#include <glib.h>

typedef struct use use_t;

typedef struct
{
  double asked;
  double got;
} use_sum_t;

/* What is added counts for about WINDOW_MS, fading out.  */
use_t *use_new (int64_t window_ms);
void use_free (use_t *use);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (use_t, use_free)

/* ACCOUNT asked for COST here.  */
void use_ask (use_t *use, cfd_time_t now, const char *account, double cost);
/* It got COST here; negative to correct an estimate.  */
void use_get (use_t *use, cfd_time_t now, const char *account, double cost);
/* Another router's own sums, as of now.  */
void use_hear (use_t *use, cfd_time_t now, const char *router,
               const char *account, const use_sum_t *own);

/* Cost a millisecond that ACCOUNT got here lately.  */
double use_own_rate (const use_t *use, cfd_time_t now, const char *account);

/* Over the whole fleet.  */
use_sum_t use_all (const use_t *use, cfd_time_t now, const char *account);

/* Calls BACK for each account with anything here lately.  */
void use_each_own (use_t *use, cfd_time_t now,
                   void (*back) (void *user, const char *account,
                                 const use_sum_t *own),
                   void *user);
/* Forgets ROUTER's figures.  */
void use_forget (use_t *use, cfd_time_t now, const char *router);

/* Computes the level anew.  Max-min fairness: the level is such that all
   accounts together got what they would if each had got what it asked for, but
   no more than the level.  Also drops accounts that are idle.  */
void use_level (use_t *use, cfd_time_t now);

/* What ACCOUNT got, in parts of the level: above 1 it has more than its fair
   share, at the others' cost.  0 while all get what they ask for.  */
double use_over (const use_t *use, cfd_time_t now, const char *account);

/* What ACCOUNT got, in parts of what it is due: the level, or all it asked for
   when that is less.  1 while all get what they ask for.  */
double use_of_due (const use_t *use, cfd_time_t now, const char *account);

#endif
