#include "scenario/ApiClient.h"

#include <curl/curl.h>

#include <memory>

namespace cranberryreel::scenario
{

namespace
{

constexpr long ConnectLimitMs = 1000;

std::size_t appendToBody(char *bytes, std::size_t size, std::size_t count, void *into)
{
    static_cast<std::string *>(into)->append(bytes, size * count);
    return size * count;
}

void initializeCurlOnce()
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(initialized);
}

} // namespace

nlohmann::json ApiReply::json() const
{
    const nlohmann::json parsed = nlohmann::json::parse(this->body, nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json::object();
}

int ApiReply::code() const
{
    return this->json().value("code", -1);
}

ApiReply callApi(const std::string &method, const std::string &url, const std::string &key, const std::string &body, Milliseconds limit)
{
    initializeCurlOnce();
    const std::unique_ptr<CURL, void (*)(CURL *)> curl(curl_easy_init(), curl_easy_cleanup);
    const std::string authorization = "Authorization: Bearer " + key;
    const std::unique_ptr<curl_slist, void (*)(curl_slist *)> headers(curl_slist_append(nullptr, authorization.c_str()), curl_slist_free_all);
    ApiReply reply;
    curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl.get(), CURLOPT_CONNECTTIMEOUT_MS, ConnectLimitMs);
    curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(limit.count()));
    curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, appendToBody);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &reply.body);
    if (!body.empty()) {
        curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, body.c_str());
    }
    if (const CURLcode result = curl_easy_perform(curl.get()); result != CURLE_OK) {
        return {0, result != CURLE_COULDNT_CONNECT, {}};
    }
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &reply.status);
    return reply;
}

} // namespace cranberryreel::scenario
