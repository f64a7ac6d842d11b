# Short names for what one does here; each is one call of CMake, CTest or a tool.
SOURCES := $(shell git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' 'standins/*.cpp' 'standins/*.h' 'bench/*.cpp' 'bench/*.h' 'fuzz/*.cpp')
CONFIG ?= docs/example.json

.PHONY: build test lint format run demo bench rehearse soak

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF && cmake --build build -j4

test:
	cmake -S . -B build-san -DCMAKE_BUILD_TYPE=Debug -DDAMSONSPOKE_SANITIZE=ON
	cmake --build build-san -j4
	ctest --test-dir build-san --output-on-failure

lint:
	.ci/lint

format:
	clang-format -i $(SOURCES)

# Ten seconds of the main job among stand-ins, and the verdict of the four rules.
demo:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF -DDAMSONSPOKE_DEMO=ON && cmake --build build -j4
	build/standins/damsonspoke_demo build/damsonspoke

# Whole fleets among faults: docs/operators/rehearsals.md.
rehearse:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF -DDAMSONSPOKE_DEMO=ON && cmake --build build -j4
	build/standins/damsonspoke-rehearse run rehearsals/*.rehearsal

# Ends of processes among callers, by seeds: docs/endings.md.
soak:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF -DDAMSONSPOKE_DEMO=ON && cmake --build build -j4
	build/standins/damsonspoke-soak --seeds 1-50

bench:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF -DDAMSONSPOKE_BENCH=ON && cmake --build build -j4

run: build
	build/damsonspoke serve --config $(CONFIG)
