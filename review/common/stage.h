/* Stage of a case: the platform's store, entry instances as processes of
   their own, callers and the record.  Everything is on loopback addresses and
   on one event loop.  */

#ifndef REVIEW_STAGE_H
#define REVIEW_STAGE_H

#include "../../platform/test-standin-store.h"
#include "relay/con.h"
#include "relay/rd.h"
#include <stdio.h>

#define STAGE_ROUTERS 2
/* Exit statuses of a case.  */
#define STAGE_HELD 0
#define STAGE_BROKEN 1
#define STAGE_NOT_RUN 2

typedef struct
{
  char *ip;
  char *address; /* for callers */
  char *settings_path;
  unsigned index;
  GPid pid; /* 0: not running */
} stage_router_t;

typedef struct
{
  struct ev_loop *loop;
  store_t *store;
  char *store_address; /* that routers are given */
  char *folder;        /* temporary, for settings files */
  const char *program; /* of an entry instance */
  FILE *record;
  int log; /* output of the routers; -1: dropped */
  GRand *random;
  cfd_time_t started_at;
  stage_router_t routers[STAGE_ROUTERS];
  int memory_mb;    /* of an instance of entry */
  bool has_trouble; /* TROUBLE is not 0 */
  bool has_failed;  /* a router ended by itself */
} stage_t;

/* Reads the environment and the arguments: the program of an entry instance
   and the file for the record.  Ends the process when the case can't run.
   Routers are to be started later.  */
stage_t *stage_new (int argc, char **argv);
/* Ends all routers.  */
void stage_free (stage_t *stage);

/* Writes a line with the time to the record.  */
void stage_record (stage_t *stage, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* Returns an address in 127.0.0.0/8; free with g_free.  */
char *stage_make_ip (unsigned number);

void stage_start_router (stage_t *stage, unsigned index);
/* Sends SIGNAL to the router.  */
void stage_signal_router (stage_t *stage, unsigned index, int signal_number);
/* Returns whether the router runs; notes it in the record when it ended.  */
bool stage_check_router (stage_t *stage, unsigned index);

/* Asks a router as the platform does; a second at most.  */
bool stage_is_ready (const stage_t *stage, unsigned index);

/* Runs the loop for MS.  */
void stage_run (stage_t *stage, int64_t ms);
/* Runs the loop until all routers are ready, 10 s at most.  */
bool stage_wait_ready (stage_t *stage);

/* One request of a caller on a connection of its own.  */
typedef struct stage_call stage_call_t;
struct stage_call
{
  stage_t *stage;
  con_t *con; /* NULL: ended */
  rd_t *rd;
  char *id;
  void *user;
  unsigned router;
  cfd_time_t sent_at;
  unsigned status;        /* 0: no head was received */
  bool is_whole;          /* the response was received completely */
  bool has_stamp;         /* it is from an endpoint */
  size_t body_bytes;      /* received */
  int64_t retry_after_ms; /* -1: none */
  /* Called once, when the response is whole or the connection ended.  */
  void (*done) (stage_call_t *call);
};

/* Sends REQUEST, the bytes of a whole request with ID, to a router.  */
stage_call_t *stage_send (stage_t *stage, unsigned router, const char *id,
                          const char *request,
                          void (*done) (stage_call_t *call), void *user);
void stage_call_free (stage_call_t *call);

#endif
