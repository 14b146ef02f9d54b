// Guards against a generation that ends for its caller where its engine's response was cut.
#include "node/test/node_fixture.h"
#include "node/test/response_proxy.h"
#include "node/test/stream_tokens.h"

#include <algorithm>
#include <memory>

using namespace oriolepick;

class cut_generations_test : public node_fixture {
protected:
    std::string engineAddress() override
    {
        m_brokenEngine = std::make_unique<response_proxy>(m_engine.address());
        return m_brokenEngine->address();
    }

    std::unique_ptr<response_proxy> m_brokenEngine;
};

// The first attempt of each generation is cut.
TEST_F(cut_generations_test, a_generation_whose_response_is_cut_anywhere_reaches_the_caller_whole)
{
    constexpr const char* Streamed
        = R"({"model":"manuals","prompt":"how [length=40]","max_tokens":60,"seed":7,"stream":true})";
    const auto expected = tokensOf(complete(Streamed).body);
    ASSERT_EQ(expected.size(), 40u);
    for (std::size_t kept = 0; kept < 2600; kept += 131) {
        auto attempts = std::make_shared<std::atomic<int>>(0);
        const bool reset = kept % 2;
        m_brokenEngine->rewrite([kept, reset, attempts](const std::string& request, const std::string& response) {
            const bool cut = request.rfind("POST /v1/attempts", 0) == 0 && (*attempts)++ == 0;
            return cut ? replaced_response { response.substr(0, kept), reset } : replaced_response { response };
        });
        const auto answer = complete(Streamed);
        EXPECT_EQ(answer.result.end, exchange_end::Complete) << kept;
        EXPECT_EQ(tokensOf(answer.body), expected)
            << "cut after " << kept
            << " bytes: " << answer.body.substr(answer.body.size() - std::min<std::size_t>(answer.body.size(), 300));
        EXPECT_GT(*attempts, 0) << kept;
    }
}
