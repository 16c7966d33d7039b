// Runs a fuzz target over the inputs that are kept, without a fuzzer.

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

int main(int argc, char** argv)
{
    std::size_t inputs = 0;
    for (int i = 1; i < argc; ++i)
        for (const auto& file : std::filesystem::directory_iterator(argv[i])) {
            std::ifstream input(file.path(), std::ios::binary);
            const std::string text(std::istreambuf_iterator<char>(input), {});
            const auto* bytes =
                reinterpret_cast<const std::uint8_t*>(text.data());
            // Flushed, so that an input that ends the process is the last one.
            std::cout << file.path().filename().string() << std::endl;
            LLVMFuzzerTestOneInput(bytes, text.size());
            ++inputs;
        }
    std::cout << inputs << " inputs\n";
    return inputs > 0 ? 0 : 1;
}
