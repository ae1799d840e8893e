#include "HttpCall.h"

#include <curl/curl.h>

namespace cranberryreel::review
{

namespace
{

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

} // namespace

HttpAnswer HttpCall::send() const
{
    HttpAnswer answer;
    CURL *curl = curl_easy_init();
    curl_slist *list = curl_slist_append(nullptr, "Content-Type: application/json");
    list = curl_slist_append(list, "Expect:");
    for (const std::string &header : this->headers) {
        list = curl_slist_append(list, header.c_str());
    }
    curl_easy_setopt(curl, CURLOPT_URL, this->url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(this->limit.count()));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.body);
    if (this->method == "POST") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(this->body.size()));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, this->body.data());
    } else if (this->method != "GET") {
        curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, this->method.c_str());
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.status);
    }
    curl_slist_free_all(list);
    curl_easy_cleanup(curl);
    return answer;
}

} // namespace cranberryreel::review
