/* Admission.  One bounded queue for each client account and service at a
   router.  Does no I/O; callers pass the current time.

   Within an account, better classes go first; a request gains one class for
   each ADM_AGEING_INTERVAL_MS it has waited, so that quick queries are not
   starved by full-shift work.  A full queue rejects a request at once, with a
   Retry-After computed from the rate at which the queue drains.  */

#ifndef ADMIT_ADM_H
#define ADMIT_ADM_H

#include "base/clock.h"
#include "base/list.h"
#include <glib.h>
#include <stdbool.h>

/* Waiting time for which a request gains one class.  */
#define ADM_AGEING_INTERVAL_MS 15000
/* Bounds of Retry-After.  */
#define ADM_RETRY_MIN_S 1
#define ADM_RETRY_MAX_S 60
/* Number of classes; a rank beyond the last counts as the last.  */
#define ADM_CLASSES_MAX 8u

typedef struct adm adm_t;

/* A request in a queue; embedded in the owner's request.  */
typedef struct
{
  list_node_t node;
  list_node_t by_deadline;
  const char *account; /* owned by the request */
  const char *service;
  unsigned class_rank;
  double cost;      /* expected, in tokens */
  cfd_time_t since; /* when the request was queued first */
  cfd_time_t deadline;
  int retry_after_s; /* set by adm_expire */
} adm_item_t;

typedef struct
{
  unsigned count;
  unsigned class_rank; /* of the next item, after ageing */
  cfd_time_t oldest;   /* when the oldest item was queued */
  double cost;         /* sum of the expected costs, in tokens */
} adm_queue_info_t;

adm_t *adm_new (void);
void adm_free (adm_t *adm);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (adm_t, adm_free)

/* Adds ITEM to its queue; the caller has set all members except the nodes.
   Returns false when the queue already holds QUEUE_MAX items, and sets
   RETRY_AFTER_S to the time after which a retry makes sense.  */
bool adm_enqueue (adm_t *adm, adm_item_t *item, unsigned queue_max,
                  cfd_time_t now, int *retry_after_s);
/* Puts an item that was dequeued but not started back in its old place, even
   into a full queue.  */
void adm_requeue (adm_t *adm, adm_item_t *item);
/* Removes and returns the next item of the queue, or NULL.  */
adm_item_t *adm_dequeue (adm_t *adm, const char *account, const char *service,
                         cfd_time_t now);
/* The same, limited to items for which IS_ALLOWED returns true.  */
adm_item_t *adm_dequeue_allowed (
    adm_t *adm, const char *account, const char *service, cfd_time_t now,
    bool (*is_allowed) (void *user, const adm_item_t *item), void *user);
/* Returns whether an item is waiting for which IS_ALLOWED returns true.  */
bool adm_has_allowed (const adm_t *adm, const char *account,
                      const char *service,
                      bool (*is_allowed) (void *user, const adm_item_t *item),
                      void *user);
/* Removes ITEM from its queue, if it is in one.  */
void adm_remove (adm_t *adm, adm_item_t *item);
void adm_get_queue_info (const adm_t *adm, const char *account,
                         const char *service, cfd_time_t now,
                         adm_queue_info_t *info);
/* Removes each item whose deadline has passed, sets its RETRY_AFTER_S and
   passes it to GIVE_UP.  */
void adm_expire (adm_t *adm, cfd_time_t now,
                 void (*give_up) (void *user, adm_item_t *item), void *user);
/* Returns the earliest deadline of all waiting items, or CFD_TIME_NEVER.  */
cfd_time_t adm_next_deadline (const adm_t *adm);
/* Calls VISIT for each queue with waiting items.  */
void adm_for_each_queue (const adm_t *adm,
                         void (*visit) (void *user, const char *account,
                                        const char *service),
                         void *user);
unsigned adm_count_waiting (const adm_t *adm);
/* Estimates the seconds until a new item of the account would start.  */
int adm_estimate_retry_after_s (const adm_t *adm, const char *account,
                                const char *service, cfd_time_t now);

#endif
