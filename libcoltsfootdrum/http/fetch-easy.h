/* Sets up one libcurl handle for a request of the HTTP client.

   libcurl repeats a request by itself when a kept connection turns out to be
   closed, also a POST that the other side had already run: the caller would
   see one answer and the endpoint two requests.  So only a reuse_connection
   request uses a kept connection; on a fresh connection libcurl never repeats.
 */

#ifndef HTTP_FETCH_EASY_H
#define HTTP_FETCH_EASY_H

#include "http/fetch.h"

#include <curl/curl.h>

/* Sets method, URL, headers, body and limits of REQUEST, which need not
   outlive the call.  The list returned must outlive EASY.  */
struct curl_slist *fetch_easy_setup (CURL *easy,
                                     const fetch_request_t *request);

#endif
