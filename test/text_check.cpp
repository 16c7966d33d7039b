#include "vanillapost/base.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace vanillapost;

// What passes here is dumped as JSON later on, where nothing may throw.
RC_GTEST_PROP(TextCheck, Utf8IsWhatJsonCanBeWrittenWith, ())
{
    const auto byte = rc::gen::oneOf(
        rc::gen::arbitrary<char>(),
        rc::gen::elementOf(std::string("a\xc3\xa9\xed\x9f\xbf\xa0\x80\xf0\x90"
                                       "\xf4\x8f\xe0\xc0\xc1\xff")));
    const auto text = *rc::gen::container<std::string>(byte);
    bool written = true;
    try {
        nlohmann::json(text).dump();
    } catch (const nlohmann::json::exception&) {
        written = false;
    }
    RC_ASSERT(is_utf8(text) == written);
}

TEST(TextCheck, Utf8AtItsBounds)
{
    for (const std::string good : {"", "\x7f", "\xc2\x80", "\xed\x9f\xbf",
                                   "\xee\x80\x80", "\xf4\x8f\xbf\xbf"})
        EXPECT_TRUE(is_utf8(good)) << good;
    for (const std::string bad :
         {"\x80", "\xc1\xbf", "\xe0\x9f\xbf", "\xed\xa0\x80",
          "\xf4\x90\x80"
          "\x80",
          "\xf8\x88\x80\x80\x80", "\xc3", "a\xff"})
        EXPECT_FALSE(is_utf8(bad)) << bad;
}

TEST(TextCheck, NoLineBreakGetsIntoAHeaderOrALog)
{
    for (const auto& bad :
         {std::string(), std::string("a\r\nb"), std::string("a\nb"),
          std::string("a\0b", 3), std::string("\x7f"), std::string("\xff"),
          std::string(max_name_bytes + 1, 'a')}) {
        EXPECT_FALSE(is_name_text(bad)) << bad;
        EXPECT_FALSE(is_header_word(bad)) << bad;
    }
    EXPECT_TRUE(is_name_text("Caf\xc3\xa9 1"));
    EXPECT_FALSE(is_header_word("a b"));
    EXPECT_FALSE(is_header_word("Caf\xc3\xa9"));
    EXPECT_TRUE(is_header_word("i-7f3a91c2"));
}

TEST(TextCheck, AddressesThatNoConnectionCanBeMadeTo)
{
    using namespace std::string_literals;
    for (const auto& bad : {""s,
                            "10.0.0.1"s,
                            "10.0.0.1:0"s,
                            "10.0.0.1:65536"s,
                            "10.0.0.1:-1"s,
                            "0.0.0.0:80"s,
                            "0.1.2.3:80"s,
                            "255.255.255.255:80"s,
                            "224.0.0.1:80"s,
                            "239.255.255.255:80"s,
                            "240.0.0.1:80"s,
                            "[::]:80"s,
                            "[ff02::1]:80"s,
                            "[::ffff:224.0.0.1]:80"s,
                            "[::ffff:0.0.0.0]:80"s,
                            "::1:80"s,
                            "host:80"s,
                            "10.0.0.1:80\r\n"s,
                            "10.0.0.1\0:80"s,
                            "10.0.0.1:80 "s,
                            std::string(100, '1') + ":80"})
        EXPECT_FALSE(is_connectable_address(bad)) << bad;
    for (const std::string good :
         {"10.1.0.18:8381", "127.0.0.1:1", "223.255.255.254:65535",
          "[fe80::1]:80", "[::1]:80", "[::ffff:10.0.0.1]:80"})
        EXPECT_TRUE(is_connectable_address(good)) << good;
}
