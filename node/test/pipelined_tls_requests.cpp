// Guards against a whole request that gets no answer because it arrived in the TLS record of the request before it.
#include "node/edge_server.h"
#include "node/test/tcp_handle.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include <atomic>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>

using namespace oriolepick;

namespace {

/// Writes a key and a certificate that it signs itself.
void writeCertificate(const std::string& certificatePath, const std::string& keyPath)
{
    const std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY*)> key(EVP_RSA_gen(2048), &EVP_PKEY_free);
    const std::unique_ptr<X509, void (*)(X509*)> certificate(X509_new(), &X509_free);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key.get());
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> certificateFile(
        std::fopen(certificatePath.c_str(), "w"), &std::fclose);
    PEM_write_X509(certificateFile.get(), certificate.get());
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> keyFile(std::fopen(keyPath.c_str(), "w"), &std::fclose);
    PEM_write_PrivateKey(keyFile.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
}

} // namespace

TEST(pipelined_tls_requests, each_request_of_one_record_gets_an_answer)
{
    const auto certificatePath = testing::TempDir() + "pipelined_tls_certificate.pem";
    const auto keyPath = testing::TempDir() + "pipelined_tls_key.pem";
    writeCertificate(certificatePath, keyPath);
    const std::atomic<bool> cut { false };
    const auto server = makeEdgeServer(certificatePath, keyPath, cut);
    ASSERT_TRUE(server->is_valid());
    server->set_keep_alive_timeout(1);
    server->Post("/echo", [](const httplib::Request& request, httplib::Response& response) {
        response.set_content(request.body, "text/plain");
    });
    const int port = server->bind_to_any_port("127.0.0.1");
    std::thread serving([&server] { server->listen_after_bind(); });

    const auto connection = tcp_handle::connected("127.0.0.1:" + std::to_string(port));
    const std::unique_ptr<SSL_CTX, void (*)(SSL_CTX*)> context(SSL_CTX_new(TLS_client_method()), &SSL_CTX_free);
    const std::unique_ptr<SSL, void (*)(SSL*)> session(SSL_new(context.get()), &SSL_free);
    SSL_set_fd(session.get(), connection.descriptor());
    EXPECT_EQ(SSL_connect(session.get()), 1);
    const std::string requests = "POST /echo HTTP/1.1\r\nHost: node\r\nContent-Length: 5\r\n\r\nfirst"
                                 "POST /echo HTTP/1.1\r\nHost: node\r\nContent-Length: 6\r\n\r\nsecond";
    EXPECT_EQ(SSL_write(session.get(), requests.data(), static_cast<int>(requests.size())),
        static_cast<int>(requests.size()));
    std::string answers;
    char buffer[4096];
    for (int count = 0; (count = SSL_read(session.get(), buffer, sizeof buffer)) > 0;)
        answers.append(buffer, static_cast<std::size_t>(count));
    EXPECT_NE(answers.find("first"), std::string::npos) << answers;
    EXPECT_NE(answers.find("second"), std::string::npos) << answers;

    server->stop();
    serving.join();
    std::remove(certificatePath.c_str());
    std::remove(keyPath.c_str());
}
