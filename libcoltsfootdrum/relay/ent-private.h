/* Entry: definitions shared by ent.c (connections, requests and responses) and
   ent-unsent.c (memory for clients that read slowly).  */

#ifndef RELAY_ENT_PRIVATE_H
#define RELAY_ENT_PRIVATE_H

#include "base/list.h"
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
  GByteArray *pipelined; /* input that is not parsed yet */
  GString *head;         /* of a response, not written yet; NULL: none */
  GString *collected;    /* body for a client of HTTP/1.0; NULL: none */
  void *data;
  cfd_time_t state_since;
  cfd_time_t started;      /* start of the request */
  size_t unsent;           /* at the last check */
  uint64_t sent;           /* likewise, since the connection's start */
  cfd_time_t unsent_since; /* since when the client has read nothing */
  ent_state_t state;
  bool head_done;
  bool too_large;
  bool chunked;
  bool reusable; /* for another request */
  bool parsing;  /* input is being parsed; freeing is deferred */
  bool free_pending;
};

/* ent.c: closes the connection.  */
void ent_call_free (ent_call_t *call);

/* ent-unsent.c: to be called at intervals.  */
void ent_check_unsent (ent_t *ent, cfd_time_t now);

#endif
