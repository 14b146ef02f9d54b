#include "standins/http_library.h"

#include <httplib.h>

#include <mutex>
#include <string_view>

namespace oriolepick {

namespace {

    /// A request in memory; the response is dropped.
    class request_stream : public httplib::Stream {
    public:
        bool is_readable() const override { return true; }
        bool is_writable() const override { return true; }
        ssize_t read(char* target, std::size_t size) override
        {
            const std::size_t count = m_unread.copy(target, size);
            m_unread.remove_prefix(count);
            return static_cast<ssize_t>(count);
        }
        ssize_t write(const char*, std::size_t size) override { return static_cast<ssize_t>(size); }
        void get_remote_ip_and_port(std::string&, int&) const override { }
        void get_local_ip_and_port(std::string&, int&) const override { }
        socket_t socket() const override { return -1; }

    private:
        std::string_view m_unread = "POST / HTTP/1.1\r\nContent-Type: text/plain\r\nContent-Length: 1\r\n\r\nx";
    };

    class offline_server : public httplib::Server {
    public:
        void handleOne()
        {
            request_stream stream;
            bool closed = false;
            process_request(stream, true, closed, [](httplib::Request&) {});
        }
    };

} // namespace

void initializeHttpLibrary()
{
    static std::once_flag initialized;
    std::call_once(initialized, [] { offline_server().handleOne(); });
}

} // namespace oriolepick
