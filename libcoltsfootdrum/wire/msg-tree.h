/* Message trees.  Decodes msgpack from the network into a tree of nodes,
   within limits on what it allocates.

   The tree parser of msgpack-c allocates the number of objects in an array's
   header before it has seen them, so that five hostile bytes make it ask for
   64 GB.  Its parser template is used instead, with callbacks that reject a
   count above the number of bytes received, and the types that no message
   has.  */

#ifndef WIRE_MSG_TREE_H
#define WIRE_MSG_TREE_H

#include <msgpack/zone.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Arrays nested deeper than this are rejected.  */
#define MSG_TREE_MAX_DEPTH 32

typedef enum
{
  MSG_NODE_UINT,
  MSG_NODE_NEGATIVE,
  MSG_NODE_DOUBLE,
  MSG_NODE_BOOL,
  MSG_NODE_STRING,
  MSG_NODE_BYTES,
  MSG_NODE_ARRAY
} msg_node_type_t;

typedef struct msg_node
{
  msg_node_type_t type;
  uint32_t length; /* of a string, bytes or an array */
  union
  {
    uint64_t number; /* of MSG_NODE_UINT and MSG_NODE_BOOL */
    int64_t negative;
    double real;
    const char *bytes; /* points into the decoded bytes; not terminated */
    struct msg_node *items;
  } u;
} msg_node_t;

typedef struct
{
  msg_node_t root;
  size_t allocated; /* bytes taken from the arena */
} msg_tree_t;

/* Decodes BYTES, which must hold exactly one object, into TREE.  Its nodes are
   allocated from ARENA: at most one for each byte received, and at most
   MAX_NODES.  Returns false if BYTES is malformed or exceeds a limit.  */
bool msg_tree_parse (msgpack_zone *arena, const void *bytes, size_t length,
                     uint32_t max_nodes, msg_tree_t *tree);

#endif
