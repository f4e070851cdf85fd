#include "http/fetch-easy.h"

#include <glib.h>
#include <string.h>

#define CONNECT_MS_DEFAULT 1000

static bool
has_header (const char *const *headers, const char *name)
{
  size_t length = strlen (name);

  for (; headers != NULL && *headers != NULL; headers++)
    if (g_ascii_strncasecmp (*headers, name, length) == 0
        && (*headers)[length] == ':')
      return true;
  return false;
}

static struct curl_slist *
set_headers (CURL *easy, const char *const *headers)
{
  struct curl_slist *list = NULL;

  for (const char *const *header = headers; header != NULL && *header != NULL;
       header++)
    list = curl_slist_append (list, *header);
  /* Without these libcurl adds a wait for "100 Continue" and a content type
     that nobody asked for.  */
  list = curl_slist_append (list, "Expect:");
  if (!has_header (headers, "Content-Type"))
    list = curl_slist_append (list, "Content-Type:");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, list);
  return list;
}

static void
set_method (CURL *easy, const fetch_request_t *request)
{
  bool is_head = strcmp (request->method, "HEAD") == 0;
  bool is_get = strcmp (request->method, "GET") == 0;
  bool has_body = request->body_length > 0
                  || (!is_get && strcmp (request->method, "DELETE") != 0);

  if (is_head)
    {
      curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
      return;
    }
  if (has_body)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)request->body_length);
      curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS,
                        request->body == NULL ? "" : request->body);
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
}

struct curl_slist *
fetch_easy_setup (CURL *easy, const fetch_request_t *request)
{
  unsigned connect_timeout_ms = request->connect_timeout_ms == 0
                                    ? CONNECT_MS_DEFAULT
                                    : request->connect_timeout_ms;

  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_HTTP09_ALLOWED, 0L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)request->total_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT,
                    (long)!request->reuse_connection);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE,
                    (long)!request->reuse_connection);
  set_method (easy, request);
  return set_headers (easy, request->headers);
}
