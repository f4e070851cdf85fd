/* libFuzzer target for JSON that arrives: its nesting, the objects and pages
   of the platform's store, and records from peers.

     CC=clang meson setup build-fuzz -Dfuzz=true
     ninja -C build-fuzz tests/fuzz-json
     build-fuzz/tests/fuzz-json -max_total_time=60 \
       -artifact_prefix=build-fuzz/  */

#include "base/jsn.h"
#include "base/log.h"
#include "config/rec.h"
#include "pf-decode.h"
#include "pf-pages.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
ignore_line (void *user, const char *line)
{
}

static unsigned
measure_depth (JsonNode *node)
{
  g_autoptr (GList) children = NULL;
  unsigned depth = 0;

  if (JSON_NODE_HOLDS_OBJECT (node))
    children = json_object_get_values (json_node_get_object (node));
  else if (JSON_NODE_HOLDS_ARRAY (node))
    children = json_array_get_elements (json_node_get_array (node));
  else
    return 0;
  for (GList *each = children; each != NULL; each = each->next)
    depth = MAX (depth, measure_depth (each->data));
  return depth + 1;
}

static void
decode_object (JsonObject *object)
{
  edp_report_free (pf_decode_endpoint ("e1", object, NULL));
  rol_order_free (pf_decode_rollout ("app", object, NULL));
  rte_table_unref (pf_decode_config (object, NULL));
  rec_free (rec_parse (object, NULL));
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  pf_pages_t *pages = pf_pages_new ();
  pf_page_t page;
  JsonNode *root;

  log_set_sink (ignore_line, NULL);
  (void)pf_pages_read (pages, 0, (const char *)data, size, &page);
  pf_pages_free (pages);
  if (!jsn_load (parser, (const char *)data, size, NULL))
    return 0;
  root = json_parser_get_root (parser);
  if (root == NULL)
    return 0;
  if (measure_depth (root) > JSN_MAX_DEPTH)
    abort ();
  if (JSON_NODE_HOLDS_OBJECT (root))
    decode_object (json_node_get_object (root));
  return 0;
}
