/* Entry: definitions shared by ent.c (connections, requests and responses),
   ent-bodies.c (memory for request bodies) and ent-unsent.c (memory for
   clients that read slowly).  */

#ifndef RELAY_ENT_PRIVATE_H
#define RELAY_ENT_PRIVATE_H

#include "base/list.h"
#include "relay/bdm.h"
#include "relay/con.h"
#include "relay/ent.h"

struct ent
{
  struct ev_loop *loop;
  ev_io listener;
  ent_ops_t ops;
  void *user;
  ent_limits_t limits;
  lag_t *lag;        /* not owned; may be NULL */
  list_node_t calls; /* ent_call_t */
  unsigned count;
  unsigned accepted; /* since the start */
  bool backlogged;   /* since the last query */
  bool draining;
  unsigned closes_left;  /* see ent_allow_closes */
  unsigned closes;       /* of these, since the start */
  cfd_time_t checked_at; /* time-outs */
  size_t unsent_budget;  /* see ent_set_unsent_budget */
  size_t unsent_total;   /* at the last check, and what was added since */
  bdm_t *bodies;
  uint64_t bodies_refused; /* since the start */
};

typedef enum
{
  ENT_IDLE,    /* between requests */
  ENT_READING, /* receiving a request */
  ENT_SERVING, /* passed to the user */
  ENT_CLOSING  /* input is discarded until the connection is closed */
} ent_state_t;

/* A connection and its current call.  */
struct ent_call
{
  list_node_t node;
  ent_t *ent;
  con_t *con;
  rd_t *rd;
  GByteArray *body;
  bdm_claim_t claim;     /* memory for it */
  char *account;         /* that the claim is of; NULL: not known yet */
  GByteArray *pipelined; /* input that is not parsed yet */
  GString *head;         /* of a response, not written yet; NULL: none */
  GString *collected;    /* body for a client of HTTP/1.0; NULL: none */
  void *data;
  cfd_time_t state_since;
  cfd_time_t input_at;     /* of the last input that was discarded */
  cfd_time_t started;      /* start of the request */
  cfd_time_t received;     /* see ent_get_receive_time */
  int64_t body_wait_ms;    /* for which its body waited for memory */
  size_t unsent;           /* at the last check */
  uint64_t sent;           /* likewise, since the connection's start */
  cfd_time_t unsent_since; /* since when the client has read nothing */
  ent_state_t state;
  bool head_done;
  bool is_head; /* the request is HEAD: its response has no body */
  bool too_large;
  bool expects_continue;
  bool chunked;
  bool reusable; /* for another request */
  bool parsing;  /* input is being parsed; freeing is deferred */
  bool free_pending;
};

/* ent.c */
/* Closes the connection.  */
void ent_call_free (ent_call_t *call);
/* Responds with STATUS and closes the connection.  */
void ent_reject_request (ent_call_t *call, unsigned status);

/* ent-bodies.c: reserves memory for the body of CALL, of which a part is still
   to come, and pauses reading or refuses CALL when there is none.  To be
   called after each input.  */
void ent_reserve_body (ent_call_t *call);
/* Counts the head and body of CALL, which is whole, as far as nothing is
   reserved for them.  Returns false after it has refused CALL.  */
bool ent_count_request (ent_call_t *call);
/* Rejects requests whose heads are incomplete while these take too much.  To
   be called at intervals.  */
void ent_check_heads (ent_t *ent);
/* Gives the memory back, for which others may be waiting.  */
void ent_release_body (ent_call_t *call);
/* Returns whether CALL has waited too long for memory.  */
bool ent_is_body_overdue (const ent_call_t *call, cfd_time_t now);
/* Refuses CALL, which waits for memory.  */
void ent_refuse_body (ent_call_t *call, cfd_time_t now);

/* ent-unsent.c: to be called at intervals.  */
void ent_check_unsent (ent_t *ent, cfd_time_t now);

#endif
