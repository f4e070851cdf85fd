/* Admission: one bounded queue for each client account and service at a
   router.  Pure: the present time is an argument and nothing is sent.

   Within an account, better classes go first; a request gains one class for
   each ADM_AGEING_INTERVAL_MS it has waited, so that quick queries are not
   starved by full-shift work.  Each queue is bounded; a refusal is given at
   once with a Retry-After worked out from how fast the queue drains.  */

#ifndef ADMIT_ADM_H
#define ADMIT_ADM_H

#include "base/clock.h"
#include "base/list.h"
#include <glib.h>
#include <stdbool.h>

#define ADM_AGEING_INTERVAL_MS 15000
#define ADM_RETRY_MIN_S 1
#define ADM_RETRY_MAX_S 60
/* A worse class counts as the last.  */
#define ADM_CLASSES_MAX 8u

typedef struct adm adm_t;

/* The queue's part of a request; lives inside the owner's request.  */
typedef struct
{
  list_node_t node;
  list_node_t by_deadline;
  const char *account; /* owned by the request */
  const char *service;
  unsigned class_rank;
  double cost; /* expected, in tokens */
  cfd_time_t since;
  cfd_time_t deadline;
  int retry_after_s; /* set when it expires, as adm_enqueue does */
} adm_item_t;

typedef struct
{
  unsigned count;
  unsigned class_rank; /* of the next to go, after ageing */
  cfd_time_t oldest;   /* when the oldest came */
  double cost;         /* sum of the expected cost */
} adm_queue_info_t;

adm_t *adm_new (void);
void adm_free (adm_t *adm);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (adm_t, adm_free)

/* Queues ITEM, whose members but the nodes the caller has set; false when the
   account's queue holds QUEUE_MAX, with the seconds after which asking again
   makes sense.  */
bool adm_enqueue (adm_t *adm, adm_item_t *item, unsigned queue_max,
                  cfd_time_t now, int *retry_after_s);
/* Puts back an item that was taken but never started, in its old place.  */
void adm_requeue (adm_t *adm, adm_item_t *item);
/* Unlinks the next item of the queue, or NULL.  */
adm_item_t *adm_dequeue (adm_t *adm, const char *account, const char *service,
                         cfd_time_t now);
/* The same of those items that MAY allows.  */
adm_item_t *adm_dequeue_allowed (
    adm_t *adm, const char *account, const char *service, cfd_time_t now,
    bool (*may) (void *user, const adm_item_t *item), void *user);
/* Whether one waits that MAY allows.  */
bool adm_has_allowed (const adm_t *adm, const char *account,
                      const char *service,
                      bool (*may) (void *user, const adm_item_t *item),
                      void *user);
/* Unlinks ITEM wherever it waits; harmless when it does not.  */
void adm_remove (adm_t *adm, adm_item_t *item);
void adm_get_queue_info (const adm_t *adm, const char *account,
                         const char *service, cfd_time_t now,
                         adm_queue_info_t *info);
/* Unlinks each item whose deadline passed, tells when asking again makes sense
   in its RETRY_AFTER_S, and hands it to GIVE_UP.  */
void adm_expire (adm_t *adm, cfd_time_t now,
                 void (*give_up) (void *user, adm_item_t *item), void *user);
/* The least deadline of all that wait, or CFD_TIME_NEVER.  */
cfd_time_t adm_next_deadline (const adm_t *adm);
/* Calls VISIT for each queue with waiting items.  */
void adm_for_each_queue (const adm_t *adm,
                         void (*visit) (void *user, const char *account,
                                        const char *service),
                         void *user);
unsigned adm_count_waiting (const adm_t *adm);
/* Seconds until a new item of the account would likely start.  */
int adm_estimate_retry_after_s (const adm_t *adm, const char *account,
                                const char *service, cfd_time_t now);

#endif
