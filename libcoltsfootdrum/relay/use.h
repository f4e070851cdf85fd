/* Service that client accounts got over the last few seconds, of this router
   and of all: what fair shares are judged by.

   The unit is a token: each prompt token counts once, each generated one
   twice.  A request of a plain service counts a fixed number.  */

#ifndef RELAY_USE_H
#define RELAY_USE_H

#include "base/clock.h"
#include <glib.h>

typedef struct use use_t;

/* Service counts for WINDOW_MS, fading out.  */
use_t *use_new (int64_t window_ms);
void use_free (use_t *use);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (use_t, use_free)

/* ACCOUNT got COST here; negative to correct an estimate.  */
void use_add (use_t *use, cfd_time_t now, const char *account, double cost);
/* Another router's own figure, as of now.  */
void use_hear (use_t *use, cfd_time_t now, const char *router,
               const char *account, double own);

/* What ACCOUNT got over the whole fleet.  */
double use_all (use_t *use, cfd_time_t now, const char *account);
/* What it got here.  */
double use_own (use_t *use, cfd_time_t now, const char *account);

/* Calls BACK for each account that got something here lately.  */
void use_each_own (use_t *use, cfd_time_t now,
                   void (*back) (void *user, const char *account, double own),
                   void *user);
/* Forgets ROUTER's figures.  */
void use_forget (use_t *use, const char *router);

#endif
